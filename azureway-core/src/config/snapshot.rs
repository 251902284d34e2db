//! The document as it was read.

use super::{AcceptedChange, ChangeId, ChangeRecord};
use crate::domain::ConfigVersion;

/// The document as it was read: its version, its text and the record of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The version; zero where no document exists.
    pub version: ConfigVersion,
    /// The text.
    pub text: Box<str>,
    /// The record, where the last writer left one.
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

    /// Returns the last change as the audit trail holds it.
    pub fn last_change(&self) -> Option<AcceptedChange> {
        let record = self.record.clone()?;
        let version = self.version;
        Some(AcceptedChange { version, record })
    }

    /// Tells whether the last change is the one with `id`.
    pub fn is_made_by(&self, id: &ChangeId) -> bool {
        self.record.as_ref().is_some_and(|r| r.metadata.id == *id)
    }
}
