//! Telling the duties whether this entry is chosen.

use azureway_core::prelude::{EntrySelector, InstanceId};
use flume::Sender;

use super::WatchMessage;
use crate::order::OrderMessage;

/// Tells the watching and the ordering duty whether this entry is one of the few of its zone
/// that do their work. Whoever knows which entries are alive tells this notifier.
#[derive(Clone, Debug)]
pub struct SelectionNotifier {
    me: InstanceId,
    watch: Sender<WatchMessage>,
    order: Sender<OrderMessage>,
}

/// The entries of a zone that watch.
const WATCHERS: EntrySelector = EntrySelector::new(2, u128::from_be_bytes(*b"config watchers."));
/// The entries of a zone that contend for the lease of orders.
const CANDIDATES: EntrySelector = EntrySelector::new(2, u128::from_be_bytes(*b"lease candidates"));

impl SelectionNotifier {
    /// Creates the notifier of instance `me`.
    pub const fn new(
        me: InstanceId,
        watch: Sender<WatchMessage>,
        order: Sender<OrderMessage>,
    ) -> Self {
        Self { me, watch, order }
    }

    /// Takes in which entries of the zone are alive. A message that finds its ring full is lost;
    /// it is to be told again from time to time.
    pub fn notify(&self, live: &[InstanceId]) {
        let watches = WATCHERS.includes(&self.me, live);
        let contends = CANDIDATES.includes(&self.me, live);
        let _ = self.watch.try_send(WatchMessage::Selected(watches));
        let _ = self.order.try_send(OrderMessage::Selected(contends));
    }
}
