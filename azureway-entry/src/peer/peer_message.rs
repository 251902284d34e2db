//! What the peer duty is told.

use azureway_core::prelude::{
    ConfigVersion, Demand, Heartbeat, Instance, InstanceId, LoadNotice, ServerUpdate, Strike,
};
use flume::Sender;

use super::Document;

/// What the peer duty is told.
#[derive(Debug)]
pub enum PeerMessage {
    /// A document that the platform holds is in force.
    Configured(Document),
    /// The platform lists these entry instances.
    Listed(Vec<Instance>),
    /// What client accounts ask of this entry.
    Demand(Demand),
    /// A request of this entry was running when a backend server broke, or was cleared.
    Strike(Strike),
    /// This entry is about to order a backend server to load weights.
    Loading(LoadNotice),
    /// This entry found something that speaks against a backend server.
    Server(ServerUpdate),
    /// A peer sent a heartbeat; the answer goes into the ring.
    Heartbeat(Box<Heartbeat>, Sender<Heartbeat>),
    /// A peer asked for a document newer than a version; it goes into the ring.
    FetchRequest(ConfigVersion, Sender<Option<Document>>),
    /// A peer answered a heartbeat.
    Reply(Box<Heartbeat>),
    /// A peer did not answer a heartbeat.
    Timeout(InstanceId),
    /// A peer gave its document.
    Fetched(InstanceId, Document),
    /// A peer was asked for its document and gave none.
    FetchFailed(InstanceId),
    /// The daemon shuts down: peers are told.
    Leave,
    /// The daemon stops.
    Stop,
}
