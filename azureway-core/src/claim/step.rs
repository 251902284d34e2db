//! The next call for a claim.

use super::ClaimOutcome;

/// The next call to the platform for a claim, or the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the record if the object has this version; 0 stands for none.
    Write(u64),
    /// Read the object.
    Read,
    /// Delete the object if it has this version.
    Delete(u64),
    /// No further call is needed.
    Done(ClaimOutcome),
}
