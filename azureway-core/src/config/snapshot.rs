//! The result of reading the document, from which an edit starts.

use super::{AcceptedChange, ChangeId, ChangeRecord};
use crate::domain::ConfigVersion;

/// A snapshot of the document: its version, its text and the record of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The version of the document, or zero if none exists.
    pub version: ConfigVersion,
    /// The text of the document.
    pub text: Box<str>,
    /// The record of the last change, if its writer stored one.
    pub record: Option<ChangeRecord>,
}

impl Snapshot {
    /// Creates a snapshot without a record.
    pub fn new(version: ConfigVersion, text: &str) -> Self {
        let (text, record) = (text.into(), None);
        Self {
            version,
            text,
            record,
        }
    }

    /// Sets the record of the last change.
    #[must_use]
    pub fn with_record(mut self, record: Option<ChangeRecord>) -> Self {
        self.record = record;
        self
    }

    /// Returns the last change as an item of the audit trail, if it has a record.
    pub fn last_change(&self) -> Option<AcceptedChange> {
        let record = self.record.clone()?;
        let version = self.version;
        Some(AcceptedChange { version, record })
    }

    /// Returns whether the last change has the identity `id`.
    pub fn is_made_by(&self, id: &ChangeId) -> bool {
        self.record.as_ref().is_some_and(|r| r.metadata.id == *id)
    }
}
