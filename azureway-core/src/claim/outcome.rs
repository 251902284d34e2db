//! What became of a call for a claim.

use super::ClaimRecord;
use crate::domain::RequestId;

/// What became of a call for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim was created for the request and has this version.
    Granted(RequestId, u64),
    /// Another sending with the same key holds the claim.
    AlreadyHeld(RequestId, ClaimRecord),
    /// The platform did not answer in time. The claim may have been created all the same.
    Unavailable(RequestId),
    /// The platform was not asked, since nobody waits any more or too many calls wait.
    Skipped(RequestId),
    /// The claim was finished or given back, or that was given up.
    Closed(RequestId),
}

impl ClaimOutcome {
    /// Returns the request that the claim is for.
    pub const fn id(&self) -> RequestId {
        match self {
            Self::Granted(id, _)
            | Self::AlreadyHeld(id, _)
            | Self::Unavailable(id)
            | Self::Skipped(id)
            | Self::Closed(id) => *id,
        }
    }
}
