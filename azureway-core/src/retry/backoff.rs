//! Computes the delays between repeated attempts.

use std::time::Duration;

use crate::util::Xorshift;

/// An exponential backoff with a cap, and with jitter from a seeded generator.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
    rng: Xorshift,
}

impl Backoff {
    /// Creates a backoff whose delay starts at `base` and doubles up to `cap`. `seed` seeds the
    /// jitter.
    pub const fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self {
            base,
            cap,
            failures: 0,
            rng: Xorshift::new(seed),
        }
    }

    /// Sets the longest delay.
    #[must_use]
    pub const fn with_cap(mut self, cap: Duration) -> Self {
        self.cap = cap;
        self
    }

    /// Records a success: the next delay starts at the base again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay, between half and all of the current backoff.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let full = self.base.saturating_mul(factor).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        let half = full / 2;
        half + half.mul_f64(self.rng.next_f64())
    }
}
