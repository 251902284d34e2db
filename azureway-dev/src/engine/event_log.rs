//! Keeps the newest cache events for polls, which detect a gap by the numbers.

use azureway_core::prelude::CacheOp;

/// A bounded log of the numbered cache events of an engine.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    /// The number of the oldest event that is kept.
    first: u64,
    ops: Vec<CacheOp>,
}

/// The maximum number of events that are kept.
const MAX_EVENTS: usize = 4_096;

impl EventLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the next event.
    pub fn next(&self) -> u64 {
        self.first + self.ops.len() as u64
    }

    /// Appends events and drops the oldest ones above the limit.
    pub fn extend(&mut self, ops: Vec<CacheOp>) {
        self.ops.extend(ops);
        let surplus = self.ops.len().saturating_sub(MAX_EVENTS);
        self.drop_oldest(surplus);
    }

    /// Drops the `count` oldest events that are kept.
    pub fn drop_oldest(&mut self, count: usize) {
        let count = count.min(self.ops.len());
        self.ops.drain(..count);
        self.first += count as u64;
    }

    /// Returns the kept events from number `from` on, with the number of the first one.
    pub fn since(&self, from: u64) -> (u64, &[CacheOp]) {
        let from = from.clamp(self.first, self.next());
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        (from, &self.ops[skip..])
    }

    /// Removes all events and restarts the numbering at 0.
    pub fn clear(&mut self) {
        *self = Self::new();
    }
}
