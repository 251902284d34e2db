//! The time by which an answer must have begun.

use std::time::Duration;

use super::Timestamp;

/// The point after which the first token of an answer comes too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// Creates a deadline at `timestamp`.
    pub const fn new(timestamp: Timestamp) -> Self {
        Self(timestamp)
    }

    /// Returns the point.
    pub const fn timestamp(self) -> Timestamp {
        self.0
    }

    /// Tells whether the deadline lies before `now`.
    pub fn is_past(self, now: Timestamp) -> bool {
        self.0 < now
    }

    /// Tells whether work that takes `time` from `now` ends in time.
    pub fn allows(self, now: Timestamp, time: Duration) -> bool {
        now + time <= self.0
    }
}
