//! The result of an edit, for the author of the change.

use super::SectionChange;
use crate::domain::ConfigVersion;

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome<F> {
    /// The change was accepted and created this version.
    Accepted(ConfigVersion),
    /// The change is empty, or the document already contains it.
    Unchanged,
    /// Another writer made these changes to the same sections. Nothing was written.
    Conflict(Vec<SectionChange>),
    /// The changed document would have these faults. Nothing was written.
    Invalid(F),
    /// The team may not change these sections. Nothing was written.
    NotOwned(Vec<Box<str>>),
    /// The document and its record have this size in bytes, which is too large. Nothing was
    /// written.
    TooLarge(usize),
    /// The store did not answer. Nothing was written.
    Unavailable,
    /// The store did not answer, and a write may have taken effect or may still do so.
    Unknown,
}
