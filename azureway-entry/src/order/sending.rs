//! The ordering duty's methods that announce loads to peers and send orders to servers.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;

use super::{OrderLink, Orderer};
use crate::peer::PeerMessage;

/// The delay from the announcement of a load to its order. During the delay peers receive the
/// announcement, and the requests that are queued in the server start.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(300);
impl<A: ObjectApi, L: OrderLink> Orderer<A, L> {
    /// Announces a load to all peers. When the order arrives, the server rejects the requests that
    /// have not started, so the order is delayed until the queued requests have started.
    pub(super) fn announce(&mut self, order: LoadOrder) {
        self.notify_peers(&order, order.weights, self.load_time);
        self.announced
            .push((self.clock.now() + ANNOUNCE_DELAY, order));
    }

    /// Sends the orders whose announcement delay has passed.
    pub(super) fn send_announced(&mut self) {
        let now = self.clock.now();
        let all = std::mem::take(&mut self.announced);
        let (due, remaining): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.announced = remaining;
        for (_, order) in due {
            // The server stays announced, since its load of newer weights comes next.
            if !self.planner.withdraw_outdated(&order) {
                self.send(order);
            }
        }
    }

    /// Notifies all peers of a load of `weights` and the time that it still takes.
    pub(super) fn notify_peers(
        &self,
        order: &LoadOrder,
        weights: WeightsVersion,
        remaining: Duration,
    ) {
        self.notify(LoadNotice {
            server: order.server.clone(),
            weights,
            duration: remaining,
        });
    }

    /// Logs that a server has loaded weights, and notifies all peers.
    pub(super) fn report_loaded(&self, order: &LoadOrder, weights: WeightsVersion) {
        log::info!(step = "order", peer:% = order.server, weights:% = weights; "loaded");
        self.notify_peers(order, weights, Duration::ZERO);
    }

    /// Notifies all peers that a server does not load for now, so that they use it again.
    pub(super) fn withdraw(&self, order: &LoadOrder) {
        self.notify(LoadNotice::withdrawn(order.server.clone()));
    }

    fn notify(&self, notice: LoadNotice) {
        if let Some(peers) = &self.peers {
            // The peer duty ends only with the process, when no further order is sent.
            let _ = peers.send(PeerMessage::Loading(notice));
        }
    }

    pub(super) fn send(&mut self, order: LoadOrder) {
        // The lease is checked again, since this thread may have been paused since the order was
        // planned.
        match self.lease.fencing_number(self.clock.now(), order.fenced) {
            Some(number) => {
                log::info!(step = "order", peer:% = order.server, weights:% = order.weights, number:% = number; "ordered");
                self.calls.send(order, number);
            }
            None => {
                self.planner.record_failure(&order.server, self.clock.now());
                self.withdraw(&order);
            }
        }
    }
}
