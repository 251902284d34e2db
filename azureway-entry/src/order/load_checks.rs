//! Polling of backend servers for the end of a load of weights.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::{LoadOrder, ServerId, Timestamp, WeightsVersion};

/// The loads whose servers are polled for completion, since the servers' own reports are late.
#[derive(Clone, Debug, Default)]
pub struct LoadChecks {
    /// The time of the next check, the time at which checks stop, and the order of each load.
    pending: Vec<(Timestamp, Timestamp, LoadOrder)>,
    /// The end of the pause of each server that asked for one.
    held: BTreeMap<ServerId, Timestamp>,
}

/// The delay from an order to the first check, about the time that a load takes.
const FIRST_DELAY: Duration = Duration::from_millis(600);
/// The interval between two checks. Each check is a priced call, but a server that has loaded and
/// stays idle until the next check costs as much.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The time after an order, or after its server's pause, at which its checks stop, since the order
/// may have been lost.
const CHECK_TIMEOUT: Duration = Duration::from_secs(4);

impl LoadChecks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a load that was ordered at `now`.
    pub fn push(&mut self, order: LoadOrder, now: Timestamp) {
        self.insert(order, now + FIRST_DELAY, now);
    }

    /// Adds a load whose server is checked at once, since its answer to the order left its state open.
    pub fn push_due(&mut self, order: LoadOrder, now: Timestamp) {
        self.insert(order, now, now);
    }

    fn insert(&mut self, order: LoadOrder, first: Timestamp, now: Timestamp) {
        self.pending.retain(|(_, _, o)| o.server != order.server);
        self.pending.push((first, now + CHECK_TIMEOUT, order));
    }

    /// Records that a server asked for a pause that ends at `until`. The server is not polled before
    /// then. A time that has passed ends the pause.
    pub fn hold(&mut self, server: &ServerId, until: Timestamp) {
        self.held.insert(server.clone(), until);
    }

    /// Returns a load that is due for a check at `now`, and schedules its next check.
    pub fn next_due(&mut self, now: Timestamp) -> Option<LoadOrder> {
        let held = &mut self.held;
        held.retain(|_, until| *until + CHECK_TIMEOUT > now);
        let pause_end = |o: &LoadOrder| held.get(&o.server).copied().unwrap_or_default();
        self.pending.retain(|(_, expires, o)| {
            let after_pause = held.get(&o.server).map(|until| *until + CHECK_TIMEOUT);
            after_pause.unwrap_or_default().max(*expires) > now
        });
        let mut pending = self.pending.iter();
        let index = pending.position(|(at, _, o)| pause_end(o).max(*at) <= now)?;
        let (at, _, order) = &mut self.pending[index];
        *at = now + CHECK_INTERVAL;
        Some(order.clone())
    }

    /// Removes the load of a server if the server has these weights, and returns its order.
    pub fn complete(&mut self, server: &ServerId, weights: WeightsVersion) -> Option<LoadOrder> {
        let done = |o: &LoadOrder| o.server == *server && o.weights == weights;
        let index = self.pending.iter().position(|(_, _, o)| done(o))?;
        Some(self.pending.swap_remove(index).2)
    }

    /// Records at `now` that the server of an order is still loading.
    pub fn extend(&mut self, order: &LoadOrder, now: Timestamp) {
        let mut pending = self.pending.iter_mut();
        if let Some((_, expires, _)) = pending.find(|(_, _, o)| o == order) {
            *expires = now + CHECK_TIMEOUT;
        }
    }

    /// Removes the load of an order, unless its server got another order since.
    pub fn remove(&mut self, order: &LoadOrder) {
        self.pending.retain(|(_, _, o)| o != order);
    }

    /// Returns the time of the next check.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let pause_end = |o: &LoadOrder| self.held.get(&o.server).copied().unwrap_or_default();
        let times = self.pending.iter();
        times.map(|(at, _, o)| pause_end(o).max(*at)).min()
    }
}
