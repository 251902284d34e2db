//! The results of claim commands, which the claim table acts on.

use super::ClaimRecord;
use crate::domain::RequestId;

/// The outcome of a claim command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim was created for the request. The number is the version of its object.
    Granted(RequestId, u64),
    /// Another request with the same key holds the claim, with this record.
    AlreadyHeld(RequestId, ClaimRecord),
    /// The platform did not answer in time. The claim may have been created nevertheless.
    Unavailable(RequestId),
    /// The platform was not called, since the deadline had passed or too many commands were queued.
    Skipped(RequestId),
    /// The claim was finished or released, or the attempt to do so was abandoned.
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
