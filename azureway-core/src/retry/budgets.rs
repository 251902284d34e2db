//! The retry budgets of the pools.

use std::collections::HashMap;

use super::{RetryBudget, RetrySlack};
use crate::domain::{PoolId, Timestamp};

/// The retry budgets of the pools. Where all entries share a slack, each is earned by the
/// requests for that pool alone.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    percent: u32,
    slack: Option<RetrySlack>,
    entries: u32,
    common: RetryBudget,
    pools: HashMap<PoolId, RetryBudget>,
}

/// The entries among which the slack is divided at least: one that has just started may know of
/// none, and today's sites have six to eight.
const ENTRIES_MIN: u32 = 8;

impl RetryBudgets {
    /// Creates budgets that allow `percent` of a pool's requests, and the slack that all
    /// entries share where there is one.
    pub fn new(percent: u32, slack: Option<RetrySlack>) -> Self {
        Self {
            percent,
            slack,
            entries: ENTRIES_MIN,
            common: RetryBudget::new(percent),
            pools: HashMap::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(ENTRIES_MIN);
        let entries = self.entries;
        if let Some(slack) = self.slack {
            self.pools
                .values_mut()
                .for_each(|b| b.set_slack(slack, entries));
        }
    }

    /// Tells whether the budgets are parts of a slack that all entries share.
    pub const fn is_shared(&self) -> bool {
        self.slack.is_some()
    }

    /// Returns the budget of a pool at `now`. Without a slack that is counted by pools, one
    /// budget serves all of them.
    pub fn for_pool(&mut self, pool: &PoolId, now: Timestamp) -> &mut RetryBudget {
        let Some(slack) = self.slack else {
            self.common.refill(now);
            return &mut self.common;
        };
        let (percent, entries) = (self.percent, self.entries);
        // Most calls find the budget; only the first of a pool stores the name.
        if !self.pools.contains_key(pool) {
            let budget = RetryBudget::new(percent).with_slack(slack, entries);
            self.pools.insert(pool.clone(), budget);
        }
        let budget = self.pools.get_mut(pool).unwrap_or(&mut self.common);
        budget.refill(now);
        budget
    }

    /// Notes the time.
    pub fn refill(&mut self, now: Timestamp) {
        self.common.refill(now);
        self.pools.values_mut().for_each(|b| b.refill(now));
    }

    /// Returns the retries that are left over all pools.
    pub fn available(&self) -> u64 {
        match self.slack {
            Some(_) => self.pools.values().map(RetryBudget::available).sum(),
            None => self.common.available(),
        }
    }

    /// Returns the time at which the first empty budget is looked at again.
    pub fn next_refill(&self) -> Option<Timestamp> {
        match self.slack {
            Some(_) => self
                .pools
                .values()
                .filter_map(RetryBudget::next_refill)
                .min(),
            None => self.common.next_refill(),
        }
    }
}
