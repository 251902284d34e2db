//! The commands of the claim table, each of which becomes calls to the platform.

use super::{ClaimHandle, ClaimRequest};
use crate::domain::RequestId;

/// A command for the platform about a claim. It may take several calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Create the claim, or return the record of its holder.
    Create(ClaimRequest),
    /// Record that the request has run to completion.
    Finish(ClaimHandle),
    /// Delete the claim, since the request has not run and will not run.
    Release(ClaimHandle),
}

impl ClaimCommand {
    /// Returns the request that the claim is for.
    pub const fn id(&self) -> RequestId {
        match self {
            Self::Create(request) => request.id,
            Self::Finish(handle) | Self::Release(handle) => handle.id,
        }
    }
}
