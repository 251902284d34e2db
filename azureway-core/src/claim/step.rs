//! The next action for a claim: a platform call, or the end with an outcome.

use super::ClaimOutcome;

/// The next platform call for a claim, or the outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the record if the object has this version, or does not exist if the version is 0.
    Write(u64),
    /// Read the object.
    Read,
    /// Delete the object if it has this version.
    Delete(u64),
    /// No further call is needed.
    Done(ClaimOutcome),
}
