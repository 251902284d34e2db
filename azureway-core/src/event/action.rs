//! The output of the router: the side effects that its driver carries out.

use super::{Dispatch, Recall};
use crate::claim::{ClaimCommand, ShortAnswer};
use crate::domain::{Attempt, Refusal, RequestId, ServerId};
use crate::member::ServerUpdate;
use crate::quarantine::{CrashReport, QuarantineChange};

/// A side effect that the router asks its driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Answer the caller with a refusal, or end its stream early.
    Refuse(RequestId, Refusal),
    /// Return to the caller the stored answer of an earlier request with the same key.
    ReplayAnswer(RequestId, ShortAnswer),
    /// Create or close a claim at the platform. The driver must report the outcome of each
    /// command with [`Event::Claim`](super::Event::Claim).
    Claim(ClaimCommand),
    /// Cancel an attempt.
    Cancel(Attempt),
    /// Cancel an attempt unless its answer has begun for the cause, and report it with
    /// [`FailureKind::Recalled`](super::FailureKind::Recalled).
    Recall(Recall),
    /// Send a status change of a backend server to the other entry instances.
    BroadcastServer(ServerUpdate),
    /// Send a crash report to the other entry instances.
    BroadcastCrashReport(CrashReport),
    /// Change the quarantined parts that the platform stores, where they outlast the entry instances.
    StoreQuarantine(QuarantineChange),
    /// Request a snapshot of a backend server's cache.
    Resync(ServerId),
}
