//! Orders the future events of a replay by virtual time.

use std::collections::BTreeMap;

use azureway_core::prelude::Timestamp;

use super::ReplayEvent;

/// The queue of future events, ordered by time. Events of the same time keep the order in which
/// they were added.
#[derive(Debug, Default)]
pub struct EventQueue {
    sequence: u64,
    entries: BTreeMap<(Timestamp, u64), ReplayEvent>,
}

impl EventQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an event at the time `at`.
    pub fn push(&mut self, at: Timestamp, event: ReplayEvent) {
        self.sequence += 1;
        self.entries.insert((at, self.sequence), event);
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Timestamp, ReplayEvent)> {
        let ((at, _), event) = self.entries.pop_first()?;
        Some((at, event))
    }
}
