//! How fast a pool takes requests that wait.

use std::time::Duration;

use crate::domain::Timestamp;

/// How fast a pool takes requests that wait, in tokens a second, measured while some wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    tokens: f64,
    seconds: f64,
    last: Timestamp,
}

/// The time over which the rate is measured before older work counts half.
const WINDOW: f64 = 2.0;
/// The time that must have been measured before the rate is known, in seconds.
const LEAST: f64 = 0.5;

impl ServiceRate {
    /// Creates a rate that is not known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that requests begin to wait at `now`.
    pub fn begin(&mut self, now: Timestamp) {
        self.last = now;
    }

    /// Notes that a request of `cost` tokens that had to wait was taken at `now`.
    pub fn take(&mut self, cost: u64, now: Timestamp) {
        self.seconds += now.since(self.last).as_secs_f64();
        self.tokens += cost as f64;
        self.last = now;
        if self.seconds > WINDOW {
            self.seconds /= 2.0;
            self.tokens /= 2.0;
        }
    }

    /// Returns the time in which `tokens` are taken, if the rate is known.
    pub fn time_for(&self, tokens: u64, now: Timestamp) -> Option<Duration> {
        let seconds = self.seconds + now.since(self.last).as_secs_f64();
        let known = seconds >= LEAST && self.tokens > 0.0;
        let time = known.then(|| tokens as f64 * seconds / self.tokens)?;
        Duration::try_from_secs_f64(time).ok()
    }
}
