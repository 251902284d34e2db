//! The spacing of loads that keeps the weight store within its rate.

use crate::domain::Timestamp;

/// The rate limit of the weight store: loads are spaced evenly, without bursts.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimiter {
    interval: u64,
    available_at: Timestamp,
}

/// The number of microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

impl StoreLimiter {
    /// Creates a limiter of `rate` loads per second.
    pub fn new(rate: u32) -> Self {
        Self {
            interval: MICROS_PER_SECOND / u64::from(rate.max(1)),
            available_at: Timestamp::ZERO,
        }
    }

    /// Returns when the next load may start.
    pub const fn available_at(&self) -> Timestamp {
        self.available_at
    }

    /// Records a load that starts at `now`.
    pub fn record_load(&mut self, now: Timestamp) {
        self.available_at = Timestamp::from_micros(now.as_micros().saturating_add(self.interval));
    }
}
