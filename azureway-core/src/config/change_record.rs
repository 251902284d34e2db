//! The record of a change in the audit trail.

use super::{ChangeMetadata, Delta};
use crate::domain::ConfigVersion;

/// The record of a change: who, when and why, from which version, and what it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Who, when and why.
    pub metadata: ChangeMetadata,
    /// The version that the change was made to.
    pub from: ConfigVersion,
    /// What it did.
    pub delta: Delta,
}
