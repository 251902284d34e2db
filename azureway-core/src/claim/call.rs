//! What the platform is to be asked for a claim.

use super::{ClaimAsk, ClaimTicket};
use crate::domain::RequestId;

/// What the platform is to be asked for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimCall {
    /// Create the claim, or tell who holds it.
    Ask(ClaimAsk),
    /// Note that the request has run to its end.
    Finish(ClaimTicket),
    /// Give the claim back: the request has not run and will not.
    Release(ClaimTicket),
}

impl ClaimCall {
    /// Returns the request that the claim is for.
    pub const fn id(&self) -> RequestId {
        match self {
            Self::Ask(ask) => ask.id,
            Self::Finish(ticket) | Self::Release(ticket) => ticket.id,
        }
    }
}
