//! First-token deadlines, which admission and retries check.

use std::time::Duration;

use super::Timestamp;

/// The time after which the first token of an answer arrives too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// Creates a deadline at `timestamp`.
    pub const fn new(timestamp: Timestamp) -> Self {
        Self(timestamp)
    }

    /// Returns the time of the deadline.
    pub const fn timestamp(self) -> Timestamp {
        self.0
    }

    /// Returns whether the deadline is before `now`.
    pub fn is_past(self, now: Timestamp) -> bool {
        self.0 < now
    }

    /// Returns whether work that starts at `now` and takes `time` ends by the deadline.
    pub fn allows(self, now: Timestamp, time: Duration) -> bool {
        now + time <= self.0
    }
}
