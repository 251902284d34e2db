//! The compare-and-swap that replaces the document and the record of its last change.

use super::ChangeRecord;
use crate::domain::ConfigVersion;

/// A conditional write of the document together with the record of its change. It takes effect only
/// if the document has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The version that the document must have, or zero if no document may exist.
    pub expected: ConfigVersion,
    /// The whole new text of the document.
    pub text: Box<str>,
    /// The record of the change.
    pub record: ChangeRecord,
}
