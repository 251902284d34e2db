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
}

/// Selects the entry instances of a zone that watch the configuration.
const WATCHERS: EntrySelector = EntrySelector::new(2, u128::from_be_bytes(*b"config watchers."));
/// Selects the entry instances of a zone that contend for the lease that allows orders.
const CANDIDATES: EntrySelector = EntrySelector::new(2, u128::from_be_bytes(*b"lease candidates"));

impl SelectionNotifier {
    /// Creates the notifier of the instance `me`.
    pub const fn new(
        me: InstanceId,
        watch: Sender<WatchMessage>,
        order: Sender<OrderMessage>,
    ) -> Self {
        Self { me, watch, order }
    }

    /// Selects among the live entry instances of the zone and notifies both duties. A message is
    /// dropped if its ring is full, so the caller must repeat the call from time to time.
    pub fn notify(&self, live: &[InstanceId]) {
        let is_watcher = WATCHERS.includes(&self.me, live);
        let is_candidate = CANDIDATES.includes(&self.me, live);
        let _ = self.watch.try_send(WatchMessage::Selected(is_watcher));
        let _ = self.order.try_send(OrderMessage::Selected(is_candidate));
    }
}
