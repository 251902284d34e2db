//! The share of traffic that may be retries.

use std::time::Duration;

use crate::domain::Timestamp;

/// A budget that lets retries be no more than a stated share of requests, and one retry a
/// second where there are few requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// What is saved up, in hundredths of a retry.
    saved: u64,
    refilled: Timestamp,
}

/// The cost of a retry, in hundredths.
const RETRY_COST: u64 = 100;
/// The most that can be saved up, in hundredths: ten retries.
const SAVED_MAX: u64 = 10 * RETRY_COST;
/// The time in which one retry is earned without any request.
const REFILL: Duration = Duration::from_secs(1);

impl RetryBudget {
    /// Creates a full budget that each request refills by `percent` of a retry.
    pub const fn new(percent: u32) -> Self {
        Self {
            percent: percent as u64,
            saved: SAVED_MAX,
            refilled: Timestamp::ZERO,
        }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(SAVED_MAX);
    }

    /// Notes the time.
    pub fn refill(&mut self, now: Timestamp) {
        let seconds = now.since(self.refilled).as_secs();
        if seconds > 0 {
            self.saved = (self.saved + seconds.saturating_mul(RETRY_COST)).min(SAVED_MAX);
            self.refilled = now;
        }
    }

    /// Returns the retries that are left.
    pub const fn left(&self) -> u64 {
        self.saved / RETRY_COST
    }

    /// Tells whether there is a retry in the budget.
    pub const fn has_retry(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Returns the time at which an empty budget has a retry again at the latest.
    pub fn next_refill(&self) -> Option<Timestamp> {
        (!self.has_retry()).then(|| self.refilled + REFILL)
    }

    /// Takes a retry out of the budget. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let has_retry = self.has_retry();
        self.saved -= if has_retry { RETRY_COST } else { 0 };
        has_retry
    }
}
