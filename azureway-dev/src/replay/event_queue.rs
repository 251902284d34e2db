//! What is to happen, in the order of time.

use std::collections::BTreeMap;

use azureway_core::prelude::Timestamp;

use super::ReplayEvent;

/// What is to happen, in the order of time and, at one time, in the order of its entry.
#[derive(Debug, Default)]
pub struct EventQueue {
    sequence: u64,
    entries: BTreeMap<(Timestamp, u64), ReplayEvent>,
}

impl EventQueue {
    /// Creates an empty agenda.
    pub fn new() -> Self {
        Self::default()
    }

    /// Enters what is to happen at `at`.
    pub fn push(&mut self, at: Timestamp, happening: ReplayEvent) {
        self.sequence += 1;
        self.entries.insert((at, self.sequence), happening);
    }

    /// Takes out what happens next.
    pub fn pop(&mut self) -> Option<(Timestamp, ReplayEvent)> {
        let ((at, _), happening) = self.entries.pop_first()?;
        Some((at, happening))
    }
}
