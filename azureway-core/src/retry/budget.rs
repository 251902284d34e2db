//! Bounds the retries of this entry to a share of its requests.

use std::time::Duration;

use super::RetrySlack;
use crate::domain::Timestamp;

/// A budget that bounds retries to a share of the requests, plus a few where requests are few.
///
/// The capacity, and the refill within one window, are each half of this entry's part of the
/// slack. The retries of all entries within any window therefore stay within the share plus
/// the slack, and no entry has to know what another one spends.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// The current balance, in hundredths of a retry.
    balance: u64,
    /// The largest balance, in hundredths of a retry.
    capacity: u64,
    /// The refill per second, independent of requests, in hundredths of a retry.
    refill_rate: u64,
    last_refill: Timestamp,
}

/// The cost of one retry, in hundredths.
const RETRY_COST: u64 = 100;
/// The default capacity: ten retries.
const DEFAULT_CAPACITY: u64 = 10 * RETRY_COST;
/// The interval of the refill.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);

impl RetryBudget {
    /// Creates a full budget of ten retries. Each request adds `percent` hundredths of a retry,
    /// and each second adds one retry.
    pub const fn new(percent: u32) -> Self {
        Self {
            percent: percent as u64,
            balance: DEFAULT_CAPACITY,
            capacity: DEFAULT_CAPACITY,
            refill_rate: RETRY_COST,
            last_refill: Timestamp::ZERO,
        }
    }

    /// Sets the capacity and the refill to this entry's part of the slack that `entries` share.
    #[must_use]
    pub fn with_slack(mut self, slack: RetrySlack, entries: u32) -> Self {
        self.set_slack(slack, entries);
        self
    }

    /// Changes the capacity and the refill to this entry's part of the slack that `entries`
    /// share.
    pub fn set_slack(&mut self, slack: RetrySlack, entries: u32) {
        let half = u64::from(slack.count) * RETRY_COST / 2 / u64::from(entries.max(1));
        self.capacity = half.max(RETRY_COST);
        self.refill_rate = half / whole_seconds(slack.window);
        self.balance = self.balance.min(self.capacity);
    }

    /// Adds the share of a retry that the first attempt of a request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.capacity);
    }

    /// Adds the refill of the whole seconds since the last one.
    pub fn refill(&mut self, now: Timestamp) {
        let seconds = now.since(self.last_refill).as_secs();
        if seconds > 0 {
            self.balance =
                (self.balance + seconds.saturating_mul(self.refill_rate)).min(self.capacity);
            self.last_refill = now;
        }
    }

    /// Returns the number of retries available.
    pub const fn available(&self) -> u64 {
        self.balance / RETRY_COST
    }

    /// Returns whether a retry is available.
    pub const fn has_retry(&self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Returns the time of the next refill if no retry is available.
    pub fn next_refill(&self) -> Option<Timestamp> {
        (!self.has_retry()).then(|| self.last_refill + REFILL_INTERVAL)
    }

    /// Spends one retry. Returns whether one was available.
    pub fn try_spend(&mut self) -> bool {
        let has_retry = self.has_retry();
        self.balance -= if has_retry { RETRY_COST } else { 0 };
        has_retry
    }
}

/// Returns a window in whole seconds, rounded up so that the refill within it is not too large.
fn whole_seconds(window: Duration) -> u64 {
    let seconds = window.as_millis().div_ceil(1_000).max(1);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}
