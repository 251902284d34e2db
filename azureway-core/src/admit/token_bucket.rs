//! A token bucket that enforces a rate limit at this entry.

use std::time::Duration;

use crate::domain::{Timestamp, TokenCount};

/// A token bucket that refills at a rate, such as this entry's share of a client account's limit.
///
/// A request is admitted while the level is not negative, and may then take the level below
/// zero. Otherwise a request larger than the bucket would be refused forever.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    updated: Timestamp,
}

/// The capacity of a bucket, as seconds of its refill rate.
const BURST_TIME: f64 = 2.0;

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        Self {
            level: rate * BURST_TIME,
            updated: now,
        }
    }

    /// Refills the bucket at `rate` tokens per second up to `now` and takes `cost` out of it.
    ///
    /// # Errors
    ///
    /// Returns the time until the level is no longer negative, if it is negative now.
    pub fn spend(&mut self, cost: TokenCount, rate: f64, now: Timestamp) -> Result<(), Duration> {
        let refilled = self.level + rate * now.since(self.updated).as_secs_f64();
        self.level = refilled.min(rate * BURST_TIME);
        self.updated = now;
        if self.level < 0.0 {
            let wait = Duration::try_from_secs_f64(-self.level / rate);
            return Err(wait.unwrap_or(Duration::MAX));
        }
        self.level -= cost.get() as f64;
        Ok(())
    }

    /// Replaces a cost that was estimated when it was spent by the actual one.
    pub fn adjust(&mut self, estimated: TokenCount, actual: TokenCount) {
        self.level += estimated.get() as f64 - actual.get() as f64;
    }
}
