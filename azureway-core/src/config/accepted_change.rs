//! A change that was accepted.

use super::ChangeRecord;
use crate::domain::ConfigVersion;

/// A change that was accepted, with the version that it made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// The record.
    pub record: ChangeRecord,
}
