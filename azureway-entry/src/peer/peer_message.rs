//! The input of the peer duty, from other duties and from its own calls and service.

use azureway_core::prelude::{
    ConfigVersion, CrashReport, Demand, Heartbeat, Instance, InstanceId, LoadNotice, ServerUpdate,
};
use flume::Sender;

use super::Document;
use crate::zone::{ZoneReply, ZoneRequest};

/// A message to the peer duty.
#[derive(Debug)]
pub enum PeerMessage {
    /// A configuration document that the platform stores is now in force.
    Configured(Document),
    /// The entry instances that the platform lists.
    Listed(Vec<Instance>),
    /// The demand of client accounts at this entry instance.
    Demand(Demand),
    /// A request of this entry instance was running when a backend server failed, or was cleared
    /// of suspicion.
    CrashReport(CrashReport),
    /// This entry instance is about to order a backend server to load weights.
    Loading(LoadNotice),
    /// This entry instance observed evidence against a backend server.
    Server(ServerUpdate),
    /// A peer sent a heartbeat; the sender takes the reply.
    Heartbeat(Box<Heartbeat>, Sender<Heartbeat>),
    /// A peer requested a document newer than a version; the sender takes the document, if any.
    FetchRequest(ConfigVersion, Sender<Option<Document>>),
    /// A peer replied to a heartbeat.
    Reply(Box<Heartbeat>),
    /// A peer did not reply to a heartbeat.
    Timeout(InstanceId),
    /// A connection to a peer gave no answer, though the peer may be reachable over a new one.
    LinkFailed(InstanceId),
    /// A peer returned its configuration document.
    Fetched(InstanceId, Document),
    /// A peer was asked for its configuration document and did not return a newer one.
    FetchFailed(InstanceId),
    /// A watcher asks the entry that reads the platform for the zone. The sender takes the answer: nothing if
    /// this instance is a reader itself, and an error if no reader has recent changes.
    AskZone(ZoneRequest, ZoneReply),
    /// The daemon shuts down and announces this to its peers.
    Leave,
    /// The daemon stops, and this duty with it.
    Stop,
}
