//! Tracks which quarantined parts the platform stores.

use std::collections::BTreeSet;

use crate::domain::PartKey;

/// The parts whose quarantine the platform stores, as far as this entry knows, and those whose
/// status may have changed since it was last compared. Only entries that were at a crash with a
/// part store its quarantine, since otherwise every entry would write the same object.
#[derive(Clone, Debug, Default)]
pub struct StoredParts {
    stored: BTreeSet<PartKey>,
    changed: BTreeSet<PartKey>,
    reported: BTreeSet<PartKey>,
}

/// The largest number of parts that are tracked, which bounds memory.
const MAX_PARTS: usize = 1_024;

impl StoredParts {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this entry has reported a crash with `part`.
    pub fn mark_reported(&mut self, part: PartKey) {
        insert_bounded(&mut self.reported, part);
        self.changed.insert(part);
    }

    /// Records that another entry has reported a crash with `part`.
    pub fn mark_merged(&mut self, part: PartKey) {
        if self.reported.contains(&part) {
            self.changed.insert(part);
        }
    }

    /// Records that crash reports about `part` were cleared.
    pub fn mark_cleared(&mut self, part: PartKey) {
        if self.stored.contains(&part) {
            self.changed.insert(part);
        }
    }

    /// Records that the platform may have lost the stored parts, so that they are compared again.
    pub fn mark_lost(&mut self) {
        self.changed.append(&mut self.stored);
    }

    /// Removes and returns the parts whose status may have changed.
    pub fn take_changed(&mut self) -> BTreeSet<PartKey> {
        std::mem::take(&mut self.changed)
    }

    /// Records that the platform stores `part`, or is about to. Returns whether that is new.
    pub fn insert(&mut self, part: PartKey) -> bool {
        insert_bounded(&mut self.stored, part)
    }

    /// Records that the platform does not store `part`. Returns whether that is new.
    pub fn remove(&mut self, part: &PartKey) -> bool {
        self.stored.remove(part)
    }
}

/// Inserts a part and drops another one if there are too many. Returns whether the part is new.
fn insert_bounded(parts: &mut BTreeSet<PartKey>, part: PartKey) -> bool {
    if parts.len() == MAX_PARTS {
        parts.pop_first();
    }
    parts.insert(part)
}
