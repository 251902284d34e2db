//! The client accounts that ask for most.

use crate::admit::Demand;
use crate::domain::{AccountId, TokenRate};

/// The client accounts that ask an entry for most, as many as a heartbeat has room for.
#[derive(Clone, Debug, Default)]
pub struct TopDemand {
    rates: Vec<(AccountId, TokenRate)>,
}

impl TopDemand {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps the `count` accounts that ask for most.
    pub fn note(&mut self, demand: &Demand, count: usize) {
        self.rates = demand.rates.clone();
        self.rates.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        self.rates.truncate(count);
    }

    /// Returns the accounts, the one that asks for most first.
    pub fn rates(&self) -> &[(AccountId, TokenRate)] {
        &self.rates
    }
}
