//! What the router wants done.

use super::Dispatch;
use crate::claim::{ClaimCommand, ShortAnswer};
use crate::domain::{Attempt, Refusal, RequestId, ServerId};
use crate::member::ServerUpdate;
use crate::quarantine::Strike;

/// What the router wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Tell the caller that the request is refused, or that its stream has ended early.
    Refuse(RequestId, Refusal),
    /// Give the caller the answer of an earlier sending again.
    ReplayAnswer(RequestId, ShortAnswer),
    /// Ask the platform for a claim, or settle one. Each call must be followed by its news.
    Claim(ClaimCommand),
    /// Stop a try.
    Cancel(Attempt),
    /// Tell the other entry instances of a backend server.
    BroadcastServer(ServerUpdate),
    /// Tell the other entry instances of a strike.
    BroadcastStrike(Strike),
    /// Ask a backend server for the whole content of its cache.
    Resync(ServerId),
}
