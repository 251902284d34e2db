//! The items of the audit trail.

use super::ChangeRecord;
use crate::domain::ConfigVersion;

/// An accepted change and the version that it created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The record of the change.
    pub record: ChangeRecord,
}
