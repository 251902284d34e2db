//! The orders to each backend server that have to be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RETRY_DELAY;
use crate::domain::ServerId;

/// The servers whose last order has to be repeated, each with the number of orders in a row that got no
/// answer.
#[derive(Clone, Debug, Default)]
pub struct UnansweredOrders {
    counts: BTreeMap<ServerId, u32>,
}

/// The number of unanswered orders after which a server counts as silent and is ordered less often. If every
/// second answer is lost, one server in 16 gets there.
const SILENT_AFTER: u32 = 4;

impl UnansweredOrders {
    /// Creates the state without unanswered orders.
    pub const fn new() -> Self {
        Self {
            counts: BTreeMap::new(),
        }
    }

    /// Records an order that got no answer. Returns the delay before it is repeated.
    pub fn record(&mut self, server: &ServerId) -> Duration {
        *self.counts.entry(server.clone()).or_default() += 1;
        match self.is_silent(server) {
            true => RETRY_DELAY,
            false => Duration::ZERO,
        }
    }

    /// Records that an order has to be repeated although the server has answered it.
    pub fn mark(&mut self, server: &ServerId) {
        self.counts.insert(server.clone(), 0);
    }

    /// Returns whether the last order to a server has to be repeated.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.counts.contains_key(server)
    }

    /// Returns the number of orders in a row to which a server gave no answer.
    pub fn count(&self, server: &ServerId) -> u32 {
        self.counts.get(server).copied().unwrap_or_default()
    }

    /// Returns whether a server counts as silent.
    pub fn is_silent(&self, server: &ServerId) -> bool {
        self.count(server) >= SILENT_AFTER
    }

    /// Records that the last order to a server need not be repeated.
    pub fn remove(&mut self, server: &ServerId) {
        self.counts.remove(server);
    }

    /// Drops the servers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.counts.retain(|id, _| keep(id));
    }
}
