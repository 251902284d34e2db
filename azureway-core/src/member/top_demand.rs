//! The part of an entry's demand that its heartbeats report.

use crate::admit::{AccountUse, Demand};

/// The client accounts with the highest demand at an entry, as many as fit in a heartbeat.
#[derive(Clone, Debug, Default)]
pub struct TopDemand {
    accounts: Vec<AccountUse>,
}

impl TopDemand {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            accounts: Vec::new(),
        }
    }

    /// Keeps the `count` accounts with the highest demand.
    pub fn update(&mut self, demand: &Demand, count: usize) {
        self.accounts = demand.accounts.clone();
        self.accounts.sort_by_key(|a| std::cmp::Reverse(a.demand));
        self.accounts.truncate(count);
    }

    /// Returns the accounts and their use, highest demand first.
    pub fn accounts(&self) -> &[AccountUse] {
        &self.accounts
    }
}
