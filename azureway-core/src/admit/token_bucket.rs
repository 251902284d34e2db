//! What a client account may still ask for at this entry.

use std::time::Duration;

use crate::domain::{Timestamp, TokenCount};

/// What a client account may still ask for at this entry: a bucket of tokens that fills at
/// the entry's share of the account's limit.
///
/// A request is let in while the bucket is not in debt, and may then put it into debt, so
/// that a request larger than the bucket is not refused for ever.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    level: f64,
    at: Timestamp,
}

/// The time whose share of the limit a bucket holds at most, in seconds.
const BURST: f64 = 2.0;

impl TokenBucket {
    /// Creates a full bucket for `rate` tokens a second.
    pub fn new(rate: f64, now: Timestamp) -> Self {
        Self {
            level: rate * BURST,
            at: now,
        }
    }

    /// Takes `cost` out of the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket is out of debt, if it is in debt.
    pub fn spend(&mut self, cost: TokenCount, rate: f64, now: Timestamp) -> Result<(), Duration> {
        let filled = self.level + rate * now.since(self.at).as_secs_f64();
        self.level = filled.min(rate * BURST);
        self.at = now;
        if self.level < 0.0 {
            let wait = Duration::try_from_secs_f64(-self.level / rate);
            return Err(wait.unwrap_or(Duration::MAX));
        }
        self.level -= cost.get() as f64;
        Ok(())
    }
}
