//! The input of the deciding duty, from connections, attempts, feeds, peers and the platform.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::{
    Attempt, ClaimOutcome, ConfigVersion, Failure, FeedAudience, Finish, Fleet, LoadReport,
    LoadSample, PauseNotice, QuarantineChange, RequestId, ServerId, ServerUpdate, ShortAnswer,
};
use flume::Sender;

use super::{OwnedCacheUpdate, PeerUpdate, Query};
use crate::admit::AdmittedRequest;

/// A message to the deciding duty.
#[derive(Debug)]
pub enum DecideMessage {
    /// A request was admitted.
    Arrived(Box<AdmittedRequest>),
    /// The caller of a request disconnected.
    CallerDisconnected(RequestId),
    /// A backend server began to answer an attempt.
    Started(Attempt),
    /// An attempt completed.
    Finished(Finish),
    /// An attempt completed with an answer short enough to be stored with its claim.
    Answered(Finish, ShortAnswer),
    /// A claim command completed, successfully or not.
    Claim(ClaimOutcome),
    /// An attempt failed.
    Failed(Failure),
    /// A backend server reported its load.
    Load(LoadReport),
    /// An answer carried a load sample of its backend server.
    LoadSample(LoadSample),
    /// A backend server rejected a request and asked for a pause.
    Paused(PauseNotice),
    /// A backend server said with an answer that one of its incarnations leaves.
    Announced(ServerUpdate),
    /// A backend server reported changes of its cache.
    Cache(OwnedCacheUpdate),
    /// A version of the configuration was read.
    Configured(Arc<Fleet>),
    /// A version of the configuration was read and is invalid.
    ConfigRejected(ConfigVersion),
    /// A query, which changes no decision.
    Query(Query),
    /// An update from other entry instances.
    Peer(PeerUpdate),
    /// The live entry instances have changed, and with them the feeds that this one reads.
    Audience(FeedAudience),
    /// The quarantined parts that the platform stores have changed.
    QuarantineChanged(QuarantineChange),
    /// The platform was restored from a copy and may have lost quarantined parts.
    QuarantinesLost,
    /// The platform lists exactly these backend servers as leaving.
    Leaving(Vec<ServerId>),
    /// The daemon is shutting down and refuses new requests. The duty stops once no request is left
    /// and no claim is open, and then signals the sender.
    Drain(Sender<()>),
    /// The daemon is shutting down and refuses new requests. After the time, the duty gives up the
    /// unfinished ones.
    Close(Duration),
}
