//! The weight store's rate.

use crate::domain::Timestamp;

/// The weight store's rate: loads are spread evenly, with none saved up.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimiter {
    gap: u64,
    free: Timestamp,
}

/// The microseconds of a second.
const SECOND: u64 = 1_000_000;

impl StoreLimiter {
    /// Creates a budget of `rate` loads a second.
    pub fn new(rate: u32) -> Self {
        Self {
            gap: SECOND / u64::from(rate.max(1)),
            free: Timestamp::ZERO,
        }
    }

    /// Returns when the next load may begin.
    pub const fn free(&self) -> Timestamp {
        self.free
    }

    /// Notes a load that begins at `now`.
    pub fn spend(&mut self, now: Timestamp) {
        self.free = Timestamp::from_micros(now.as_micros().saturating_add(self.gap));
    }
}
