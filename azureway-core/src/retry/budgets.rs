//! Finds the retry budget of a pool, and divides shared slack between the entry instances.

use std::collections::HashMap;

use super::{RetryBudget, RetrySlack};
use crate::domain::{PoolId, Timestamp};

/// The retry budgets of the pools.
///
/// With a slack that all entries share, each pool has its own budget, earned by the requests
/// for that pool alone. Without one, a single budget serves all pools.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    percent: u32,
    slack: Option<RetrySlack>,
    entries: u32,
    single: RetryBudget,
    pools: HashMap<PoolId, RetryBudget>,
}

/// The least number of entry instances that the slack is divided by. An instance that has just
/// started may know of no other, and sites have six to eight.
const MIN_ENTRIES: u32 = 8;

impl RetryBudgets {
    /// Creates budgets that allow retries of `percent` percent of the requests, plus the slack
    /// that all entries share, if there is one.
    pub fn new(percent: u32, slack: Option<RetrySlack>) -> Self {
        Self {
            percent,
            slack,
            entries: MIN_ENTRIES,
            single: RetryBudget::new(percent),
            pools: HashMap::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(MIN_ENTRIES);
        let entries = self.entries;
        if let Some(slack) = self.slack {
            self.pools
                .values_mut()
                .for_each(|b| b.set_slack(slack, entries));
        }
    }

    /// Returns whether all entries share a slack.
    pub const fn is_shared(&self) -> bool {
        self.slack.is_some()
    }

    /// Returns the budget for a pool, refilled up to `now`.
    pub fn for_pool(&mut self, pool: &PoolId, now: Timestamp) -> &mut RetryBudget {
        let Some(slack) = self.slack else {
            self.single.refill(now);
            return &mut self.single;
        };
        let (percent, entries) = (self.percent, self.entries);
        // Only the first call for a pool clones its name.
        if !self.pools.contains_key(pool) {
            let budget = RetryBudget::new(percent).with_slack(slack, entries);
            self.pools.insert(pool.clone(), budget);
        }
        let budget = self.pools.get_mut(pool).unwrap_or(&mut self.single);
        budget.refill(now);
        budget
    }

    /// Refills all budgets up to `now`.
    pub fn refill(&mut self, now: Timestamp) {
        self.single.refill(now);
        self.pools.values_mut().for_each(|b| b.refill(now));
    }

    /// Returns the number of retries available over all pools.
    pub fn available(&self) -> u64 {
        match self.slack {
            Some(_) => self.pools.values().map(RetryBudget::available).sum(),
            None => self.single.available(),
        }
    }

    /// Returns the time of the next refill of an empty budget, the earliest over all pools.
    pub fn next_refill(&self) -> Option<Timestamp> {
        match self.slack {
            Some(_) => self
                .pools
                .values()
                .filter_map(RetryBudget::next_refill)
                .min(),
            None => self.single.next_refill(),
        }
    }
}
