//! The share of traffic that may be retries.

use std::time::Duration;

use super::RetrySlack;
use crate::domain::Timestamp;

/// A budget that lets retries be no more than a stated share of requests, and a few more
/// where there are few requests.
///
/// What is saved up and what is refilled within a window are each half of this entry's part of
/// the slack. So the retries of all entries within any window stay within share and slack, and
/// no entry has to know what another one spends.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// What is saved up, in hundredths of a retry.
    saved: u64,
    /// The most that can be saved up, in hundredths.
    bound: u64,
    /// What is earned in a second without any request, in hundredths.
    pace: u64,
    refilled: Timestamp,
}

/// The cost of a retry, in hundredths.
const RETRY_COST: u64 = 100;
/// The most that can be saved up by default, in hundredths: ten retries.
const SAVED_MAX: u64 = 10 * RETRY_COST;
/// The time after which the budget is refilled.
const REFILL: Duration = Duration::from_secs(1);

impl RetryBudget {
    /// Creates a full budget that each request refills by `percent` of a retry and each
    /// second by one.
    pub const fn new(percent: u32) -> Self {
        Self {
            percent: percent as u64,
            saved: SAVED_MAX,
            bound: SAVED_MAX,
            pace: RETRY_COST,
            refilled: Timestamp::ZERO,
        }
    }

    /// Sets this entry's part of the slack of all `entries`.
    #[must_use]
    pub fn with_slack(mut self, slack: RetrySlack, entries: u32) -> Self {
        self.set_slack(slack, entries);
        self
    }

    /// Takes over a changed number of entries that share the slack.
    pub fn set_slack(&mut self, slack: RetrySlack, entries: u32) {
        let half = u64::from(slack.count) * RETRY_COST / 2 / u64::from(entries.max(1));
        self.bound = half.max(RETRY_COST);
        self.pace = half / whole_seconds(slack.window);
        self.saved = self.saved.min(self.bound);
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.percent).min(self.bound);
    }

    /// Notes the time.
    pub fn refill(&mut self, now: Timestamp) {
        let seconds = now.since(self.refilled).as_secs();
        if seconds > 0 {
            self.saved = (self.saved + seconds.saturating_mul(self.pace)).min(self.bound);
            self.refilled = now;
        }
    }

    /// Returns the retries that are left.
    pub const fn available(&self) -> u64 {
        self.saved / RETRY_COST
    }

    /// Tells whether there is a retry in the budget.
    pub const fn has_retry(&self) -> bool {
        self.saved >= RETRY_COST
    }

    /// Returns the time at which an empty budget is looked at again.
    pub fn next_refill(&self) -> Option<Timestamp> {
        (!self.has_retry()).then(|| self.refilled + REFILL)
    }

    /// Takes a retry out of the budget. Returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let has_retry = self.has_retry();
        self.saved -= if has_retry { RETRY_COST } else { 0 };
        has_retry
    }
}

/// Returns a window in seconds, rounded up, so that no more is handed out within it.
fn whole_seconds(window: Duration) -> u64 {
    let seconds = window.as_millis().div_ceil(1_000).max(1);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}
