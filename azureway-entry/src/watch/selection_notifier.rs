//! Notification of the duties that only a few selected entry instances of a zone perform.

use azureway_core::prelude::{EntrySelector, InstanceId};
use flume::Sender;

use super::WatchMessage;
use crate::order::OrderMessage;

/// Notifies the watching and the ordering duty whether this entry instance is one of the few of its
/// zone that are selected for their work. The peer duty, which knows the live instances, calls it.
#[derive(Clone, Debug)]
pub struct SelectionNotifier {
    me: InstanceId,
    watch: Sender<WatchMessage>,
    order: Sender<OrderMessage>,
    candidates: EntrySelector,
}

/// Selects the entry instances of a zone that watch the configuration.
const WATCHERS: EntrySelector = EntrySelector::new(2, u128::from_be_bytes(*b"config watchers."));
/// The seed of the selection of the entry instances that contend for the lease that allows orders.
const CANDIDATES_SEED: u128 = u128::from_be_bytes(*b"lease candidates");
/// The number of zones from which on one instance of each contends for the lease.
const MIN_ZONES: usize = 3;

impl SelectionNotifier {
    /// Creates the notifier of the instance `me`, whose zone has two candidates for the lease.
    pub const fn new(
        me: InstanceId,
        watch: Sender<WatchMessage>,
        order: Sender<OrderMessage>,
    ) -> Self {
        Self {
            me,
            watch,
            order,
            candidates: EntrySelector::new(2, CANDIDATES_SEED),
        }
    }

    /// Sets the number of availability zones, whose candidates stand in for one another.
    #[must_use]
    pub const fn with_zones(mut self, zones: usize) -> Self {
        if zones >= MIN_ZONES {
            self.candidates = EntrySelector::new(1, CANDIDATES_SEED);
        }
        self
    }

    /// Selects among the live entry instances of the zone and notifies both duties. A message is
    /// dropped if its ring is full, so the caller must repeat the call from time to time.
    pub fn notify(&self, live: &[InstanceId]) {
        let is_watcher = WATCHERS.includes(&self.me, live);
        let is_candidate = self.candidates.includes(&self.me, live);
        let _ = self.watch.try_send(WatchMessage::Selected(is_watcher));
        let _ = self.order.try_send(OrderMessage::Selected(is_candidate));
    }
}
