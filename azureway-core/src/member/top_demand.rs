//! The part of an entry's demand that its heartbeats report.

use crate::admit::Demand;
use crate::domain::{AccountId, TokenRate};

/// The client accounts with the highest demand at an entry, as many as fit in a heartbeat.
#[derive(Clone, Debug, Default)]
pub struct TopDemand {
    rates: Vec<(AccountId, TokenRate)>,
}

impl TopDemand {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps the `count` accounts with the highest demand.
    pub fn update(&mut self, demand: &Demand, count: usize) {
        self.rates = demand.rates.clone();
        self.rates.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        self.rates.truncate(count);
    }

    /// Returns the accounts and their demand, highest first.
    pub fn rates(&self) -> &[(AccountId, TokenRate)] {
        &self.rates
    }
}
