//! A write that an edit wants done.

use super::ChangeRecord;
use crate::domain::ConfigVersion;

/// A conditional write of the document together with the record of its change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The version that the document must have; zero where none may exist.
    pub expected: ConfigVersion,
    /// The whole text.
    pub text: Box<str>,
    /// The record.
    pub record: ChangeRecord,
}
