//! What the platform is to be asked for a claim.

use super::{ClaimHandle, ClaimRequest};
use crate::domain::RequestId;

/// What the platform is to be asked for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Create the claim, or tell who holds it.
    Create(ClaimRequest),
    /// Note that the request has run to its end.
    Finish(ClaimHandle),
    /// Give the claim back: the request has not run and will not.
    Release(ClaimHandle),
}

impl ClaimCommand {
    /// Returns the request that the claim is for.
    pub const fn id(&self) -> RequestId {
        match self {
            Self::Create(ask) => ask.id,
            Self::Finish(ticket) | Self::Release(ticket) => ticket.id,
        }
    }
}
