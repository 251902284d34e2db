//! The retry budgets of the pools.

use std::collections::HashMap;

use super::{RetryBudget, RetrySlack};
use crate::domain::{PoolId, Timestamp};

/// The retry budgets of the pools, each earned by the requests for that pool alone.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    percent: u32,
    slack: Option<RetrySlack>,
    entries: u32,
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
                .for_each(|b| b.share(slack, entries));
        }
    }

    /// Tells whether the budgets are parts of a slack that all entries share.
    pub const fn is_shared(&self) -> bool {
        self.slack.is_some()
    }

    /// Returns the budget of a pool at `now`.
    pub fn of(&mut self, pool: &PoolId, now: Timestamp) -> &mut RetryBudget {
        if !self.pools.contains_key(pool) {
            let budget = RetryBudget::new(self.percent);
            let budget = match self.slack {
                Some(slack) => budget.with_slack(slack, self.entries),
                None => budget,
            };
            self.pools.insert(pool.clone(), budget);
        }
        let budget = self.pools.get_mut(pool).expect("the budget was just added");
        budget.refill(now);
        budget
    }

    /// Returns the retries that are left over all pools.
    pub fn left(&self) -> u64 {
        self.pools.values().map(RetryBudget::left).sum()
    }

    /// Returns the time at which the first empty budget is looked at again.
    pub fn next_refill(&self) -> Option<Timestamp> {
        self.pools
            .values()
            .filter_map(RetryBudget::next_refill)
            .min()
    }
}
