//! The orders to each backend server that got no answer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RETRY_DELAY;
use crate::domain::ServerId;

/// The number of orders to each server that got no answer since it last answered one.
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
        let count = self.counts.entry(server.clone()).or_default();
        *count += 1;
        match *count < SILENT_AFTER {
            true => Duration::ZERO,
            false => RETRY_DELAY,
        }
    }

    /// Returns whether the last order to a server got no answer.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.counts.contains_key(server)
    }

    /// Records that a server has answered.
    pub fn remove(&mut self, server: &ServerId) {
        self.counts.remove(server);
    }

    /// Drops the servers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.counts.retain(|id, _| keep(id));
    }
}
