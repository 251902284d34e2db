//! The wait before a try, longer each time, with jitter and a cap.

use std::time::Duration;

use crate::util::Xorshift;

/// A wait that doubles with each failure up to a cap, with jitter drawn from a seed.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
    draws: Xorshift,
}

impl Backoff {
    /// Creates a wait that starts at `base`, ends at `cap` and draws its jitter from `seed`.
    pub const fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self {
            base,
            cap,
            failures: 0,
            draws: Xorshift::new(seed),
        }
    }

    /// Sets the longest wait.
    #[must_use]
    pub const fn with_cap(mut self, cap: Duration) -> Self {
        self.cap = cap;
        self
    }

    /// Notes a success: the next wait starts at the base again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and returns the wait: between half of the full wait and all of it.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let full = self.base.saturating_mul(factor).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        let half = full / 2;
        half + half.mul_f64(self.draws.next_f64())
    }
}
