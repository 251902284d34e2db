//! The record of a change in the audit trail.

use super::{ChangeMetadata, Delta};
use crate::domain::ConfigVersion;

/// The record of a change: its metadata, the version that it was made to and what it changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Who made the change, when and why.
    pub metadata: ChangeMetadata,
    /// The version that the change was made to.
    pub from: ConfigVersion,
    /// What the change did to each section.
    pub delta: Delta,
}
