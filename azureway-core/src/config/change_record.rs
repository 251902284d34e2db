//! The audit record that is stored in the same write as the changed document.

use super::{ChangeMetadata, Delta};
use crate::domain::ConfigVersion;

/// The record of a change: its metadata, the version that it was applied to and what it changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Who made the change, when and why.
    pub metadata: ChangeMetadata,
    /// The version of the document that the change was applied to.
    pub from: ConfigVersion,
    /// The effect of the change on each section.
    pub delta: Delta,
}
