//! How an edit ended.

use super::SectionChange;
use crate::domain::ConfigVersion;

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome<F> {
    /// The change was accepted and made this version.
    Accepted(ConfigVersion),
    /// The document holds the change already, or the change is empty.
    Unchanged,
    /// Somebody else changed the same sections; these are their changes. Nothing was written.
    Conflict(Vec<SectionChange>),
    /// The document, as it would be, has these faults. Nothing was written.
    Invalid(F),
    /// The sections belong to another team. Nothing was written.
    NotOwned(Vec<Box<str>>),
    /// The document and its record have this many bytes, too many. Nothing was written.
    TooLarge(usize),
    /// The store did not answer. Nothing was written.
    Unavailable,
    /// The store did not answer, and a write may have taken effect or may yet do so.
    Unknown,
}
