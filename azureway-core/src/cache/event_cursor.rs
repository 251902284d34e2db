//! How far a server's numbered cache events have been heard.

use crate::domain::Incarnation;

/// How far a server's numbered cache events have been heard, and whether any were lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCursor {
    incarnation: Incarnation,
    next: u64,
}

impl EventCursor {
    /// Creates a cursor that has heard nothing.
    pub const fn new() -> Self {
        Self {
            incarnation: Incarnation::ZERO,
            next: 0,
        }
    }

    /// Returns the incarnation that the cursor follows.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Starts anew at event `next` of `incarnation`.
    pub fn reset(&mut self, incarnation: Incarnation, next: u64) {
        self.incarnation = incarnation;
        self.next = next;
    }

    /// Takes in a run of `len` events from number `first`.
    ///
    /// Returns how many events at the head of the run are already known, or `None` if
    /// events before the run were lost.
    pub fn advance(&mut self, first: u64, len: u64) -> Option<u64> {
        if first > self.next {
            return None;
        }
        let known = (self.next - first).min(len);
        self.next = self.next.max(first + len);
        Some(known)
    }
}
