//! Detects cache events that were lost or arrive twice, by their numbers.

use crate::domain::Incarnation;

/// The position in a server's numbered cache events, used to detect lost and repeated events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCursor {
    incarnation: Incarnation,
    next: u64,
}

impl EventCursor {
    /// Creates a cursor of no incarnation, before its first event.
    pub const fn new() -> Self {
        Self {
            incarnation: Incarnation::ZERO,
            next: 0,
        }
    }

    /// Returns the incarnation whose events the cursor counts.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Moves the cursor to event `next` of `incarnation`.
    pub fn reset(&mut self, incarnation: Incarnation, next: u64) {
        self.incarnation = incarnation;
        self.next = next;
    }

    /// Advances the cursor over a run of `len` events that starts at number `first`.
    ///
    /// Returns how many events at the head of the run are already known, or `None` if events
    /// before the run were lost.
    pub fn advance(&mut self, first: u64, len: u64) -> Option<u64> {
        if first > self.next {
            return None;
        }
        let known = (self.next - first).min(len);
        self.next = self.next.max(first + len);
        Some(known)
    }
}
