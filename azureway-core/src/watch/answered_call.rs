//! The times of a call to the platform that was answered.

use std::time::Duration;

use crate::domain::Timestamp;

/// When a call to the platform was sent and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredCall {
    /// The time before the call was sent.
    pub started: Timestamp,
    /// The time for which the platform holds the call open if nothing changes.
    pub wait: Duration,
    /// The time after the answer was read.
    pub answered: Timestamp,
}

/// The lateness above which an answer counts as late. An answer of usual size takes a fraction of
/// this on the slowest links, and the wait of a watch is longer.
const LATE_MIN: Duration = Duration::from_millis(400);

impl AnsweredCall {
    /// Returns how long the answer took beyond the wait of the call. It is long if the path to the
    /// platform, the platform or this process itself was held up.
    pub fn lateness(&self) -> Duration {
        self.answered.since(self.started + self.wait)
    }

    /// Returns whether the failed call ended when a call can fail: within its wait, or when a time limit of
    /// `timeout`, for the connection or for the answer, ran out. Otherwise this process was held up.
    pub fn failed_on_time(&self, timeout: Duration) -> bool {
        let elapsed = self.answered.since(self.started);
        let due = [timeout, self.wait + timeout, self.wait + timeout * 2];
        let timed_out = |due: &Duration| elapsed.checked_sub(*due).is_some_and(|l| l <= LATE_MIN);
        self.lateness() <= LATE_MIN || due.iter().any(timed_out)
    }

    /// Returns whether the answer was read long after it was due, so that it may be out of date.
    pub fn is_late(&self) -> bool {
        self.lateness() > LATE_MIN
    }
}
