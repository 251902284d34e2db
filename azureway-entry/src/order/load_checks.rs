//! Polling of backend servers for the end of a load of weights.

use std::time::Duration;

use azureway_core::prelude::{LoadOrder, Timestamp};

/// The loads whose servers are polled for completion, since the servers' own reports are late.
#[derive(Clone, Debug, Default)]
pub struct LoadChecks {
    /// The time of the next check, the time at which checks stop, and the order of each load.
    pending: Vec<(Timestamp, Timestamp, LoadOrder)>,
}

/// The delay from an order to the first check, about the time that a load takes.
const FIRST_DELAY: Duration = Duration::from_millis(600);
/// The interval between two checks. Each check is a priced call, but a server that has loaded and
/// stays idle until the next check costs as much.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The time after an order at which its checks stop, since the order may have been lost.
const CHECK_TIMEOUT: Duration = Duration::from_secs(4);

impl LoadChecks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a load that was ordered at `now`.
    pub fn push(&mut self, order: LoadOrder, now: Timestamp) {
        self.pending.retain(|(_, _, o)| o.server != order.server);
        self.pending
            .push((now + FIRST_DELAY, now + CHECK_TIMEOUT, order));
    }

    /// Returns a load that is due for a check at `now`, and schedules its next check.
    pub fn next_due(&mut self, now: Timestamp) -> Option<LoadOrder> {
        self.pending.retain(|(_, expires, _)| *expires > now);
        let index = self.pending.iter().position(|(at, ..)| *at <= now)?;
        let (at, _, order) = &mut self.pending[index];
        *at = now + CHECK_INTERVAL;
        Some(order.clone())
    }

    /// Removes a load that has completed.
    pub fn remove(&mut self, order: &LoadOrder) {
        self.pending.retain(|(_, _, o)| o.server != order.server);
    }

    /// Returns the time of the next check.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.pending.iter().map(|(at, ..)| *at).min()
    }
}
