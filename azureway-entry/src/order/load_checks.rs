//! The loads whose end is being asked for.

use std::time::Duration;

use azureway_core::prelude::{LoadOrder, Timestamp};

/// The loads whose end is being asked for, since servers tell of it late by themselves.
#[derive(Clone, Debug, Default)]
pub struct LoadChecks {
    pending: Vec<(Timestamp, Timestamp, LoadOrder)>,
}

/// How long after an order a server is asked first: the order of magnitude of a load.
const FIRST_CHECK: Duration = Duration::from_millis(600);
/// The time between two questions: each is a priced call, and a server that is ready and not
/// used costs as much.
const CHECK_TIME: Duration = Duration::from_millis(150);
/// How long a load is asked for; an order may have been lost.
const CHECK_LIMIT: Duration = Duration::from_secs(4);

impl LoadChecks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a load that was ordered at `now`.
    pub fn push(&mut self, order: LoadOrder, now: Timestamp) {
        self.pending.retain(|(_, _, o)| o.server != order.server);
        self.pending
            .push((now + FIRST_CHECK, now + CHECK_LIMIT, order));
    }

    /// Takes out a load whose server is to be asked at `now`.
    pub fn due(&mut self, now: Timestamp) -> Option<LoadOrder> {
        self.pending.retain(|(_, limit, _)| *limit > now);
        let place = self.pending.iter().position(|(at, ..)| *at <= now)?;
        let (at, _, order) = &mut self.pending[place];
        *at = now + CHECK_TIME;
        Some(order.clone())
    }

    /// Drops a load that has ended.
    pub fn end(&mut self, order: &LoadOrder) {
        self.pending.retain(|(_, _, o)| o.server != order.server);
    }

    /// Returns when the next server is to be asked.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.pending.iter().map(|(at, ..)| *at).min()
    }
}
