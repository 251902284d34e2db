//! A holder of memory.

use std::time::Duration;

use crate::domain::Timestamp;

/// What is held for one request or connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    /// The memory that is held, in bytes.
    pub(super) held: usize,
    /// The part of an answer that the caller has not taken yet, in bytes.
    pub(super) unread: usize,
    /// The time since which the caller has taken nothing, if some of the answer is unread.
    pub(super) stalled: Timestamp,
    /// Whether the caller is being closed.
    pub(super) closing: bool,
}

impl Holder {
    /// Creates a holder of `held` bytes.
    pub(super) const fn new(held: usize) -> Self {
        Self {
            held,
            unread: 0,
            stalled: Timestamp::ZERO,
            closing: false,
        }
    }

    /// Returns the time for which the caller has taken nothing of what waits for it, unless little waits
    /// or it is being closed.
    pub(super) fn stall(&self, behind: usize, now: Timestamp) -> Option<Duration> {
        (!self.closing && self.unread >= behind).then(|| now.since(self.stalled))
    }
}
