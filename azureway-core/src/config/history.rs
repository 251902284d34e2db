//! The audit trail, from which older versions of the document are reconstructed.

use std::collections::BTreeMap;

use super::{AcceptedChange, Sections, Snapshot};
use crate::domain::ConfigVersion;

/// The audit trail: accepted changes, ordered by the versions that they created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    changes: BTreeMap<ConfigVersion, AcceptedChange>,
}

impl History {
    /// Creates an empty trail.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a change. The same change may be added from both the document and the archive.
    pub fn insert(&mut self, change: AcceptedChange) {
        self.changes.insert(change.version, change);
    }

    /// Returns the changes from oldest to newest.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.changes.values()
    }

    /// Returns the sections of the document at version `base`, by reverting every later change.
    /// Returns `None` if the trail does not reach back that far.
    pub fn rewind(&self, current: &Snapshot, base: ConfigVersion) -> Option<String> {
        let (mut text, mut version) = (current.text.to_string(), current.version);
        while version > base {
            let record = &self.changes.get(&version)?.record;
            text = record.delta.inverse().apply(&Sections::parse(&text));
            version = record.from;
        }
        (version == base).then_some(text)
    }
}
