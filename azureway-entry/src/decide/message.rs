//! What the deciding duty is told.

use std::sync::Arc;

use azureway_core::prelude::{
    Attempt, ClaimOutcome, ConfigVersion, Failure, Finish, Fleet, LoadReport, LoadSample,
    RequestId, ServerId, ShortAnswer,
};
use flume::Sender;

use super::{OwnedCacheUpdate, PeerUpdate, Query};
use crate::admit::Admitted;

/// What the deciding duty is told.
#[derive(Debug)]
pub enum DecideMessage {
    /// A request was admitted.
    Arrived(Box<Admitted>),
    /// The caller of a request hung up.
    CallerDisconnected(RequestId),
    /// A backend server began to answer.
    Started(Attempt),
    /// A try ended well.
    Finished(Finish),
    /// A try ended well, with an answer that is short enough to be kept.
    Answered(Finish, ShortAnswer),
    /// A call for a claim ended.
    Claim(ClaimOutcome),
    /// A try failed.
    Failed(Failure),
    /// A backend server told of its load.
    Load(LoadReport),
    /// An answer told something of its backend server.
    LoadSample(LoadSample),
    /// A backend server told of its cache.
    Cache(OwnedCacheUpdate),
    /// A version of the configuration was read.
    Configured(Arc<Fleet>),
    /// A version of the configuration was read and is bad.
    ConfigRejected(ConfigVersion),
    /// Somebody asks something; no decision follows from it.
    Query(Query),
    /// Other entries told something.
    Peer(PeerUpdate),
    /// The platform lists these backend servers as leaving, and no others.
    Leaving(Vec<ServerId>),
    /// The daemon shuts down and refuses new requests. Where there is a ring, the duty ends
    /// when nothing is left to do, and tells it.
    Drain(Option<Sender<()>>),
}
