//! The number of orders that each backend server has accepted.

use std::collections::BTreeMap;

use crate::domain::{BackendServer, Incarnation, ServerId};

/// The number of orders that each server has accepted since its start, as far as known here.
///
/// An order names this number, and a server that has accepted another number rejects it. So of several
/// orders to one server that got no answer at most one is carried out, and none after a newer one.
/// A number that is too low does no harm: the server rejects the order, and is asked.
#[derive(Clone, Debug, Default)]
pub struct OrderCounts {
    counts: BTreeMap<ServerId, (Incarnation, u64)>,
}

impl OrderCounts {
    /// Creates counts without servers. A server counts as one that has accepted no orders.
    pub const fn new() -> Self {
        Self {
            counts: BTreeMap::new(),
        }
    }

    /// Returns the number of orders that a server has accepted.
    pub fn get(&self, server: &ServerId) -> u64 {
        self.counts.get(server).map_or(0, |(_, count)| *count)
    }

    /// Returns the listed incarnation of a server, or zero if it is not listed.
    pub fn incarnation(&self, server: &ServerId) -> Incarnation {
        let known = self.counts.get(server);
        known.map_or(Incarnation::ZERO, |(incarnation, _)| *incarnation)
    }

    /// Records the number of orders that a server has accepted.
    pub fn set(&mut self, server: &ServerId, count: u64) {
        self.counts.entry(server.clone()).or_default().1 = count;
    }

    /// Records the listed incarnation of a server. A new one has accepted no orders. Returns whether the
    /// server has restarted.
    pub fn observe_listing(&mut self, server: &BackendServer) -> bool {
        let Some(listed) = server.listed else {
            return false;
        };
        let known = self.counts.get(&server.id).map(|(known, _)| *known);
        if known < Some(listed.incarnation) {
            let entry = (listed.incarnation, 0);
            self.counts.insert(server.id.clone(), entry);
        }
        known.is_some_and(|known| known < listed.incarnation)
    }

    /// Drops the servers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool) {
        self.counts.retain(|id, _| keep(id));
    }
}
