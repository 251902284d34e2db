//! The deciding duty's side of orders.

use std::collections::BTreeMap;
use std::sync::Arc;

use azureway_core::prelude::{Fleet, LoadReport, ServerId, WeightsVersion};
use flume::Sender;

use super::OrderMessage;

/// The deciding duty's side of orders: passes on what the ordering duty has to know, without
/// waiting for it.
#[derive(Debug)]
pub struct OrderClient {
    messages: Sender<OrderMessage>,
    pending: Option<Arc<Fleet>>,
    /// The weights that the ordering duty knows of, and whether the server is leaving.
    told: BTreeMap<ServerId, (WeightsVersion, bool)>,
}

impl OrderClient {
    /// Creates a client that writes to a ring.
    pub const fn new(messages: Sender<OrderMessage>) -> Self {
        Self {
            messages,
            pending: None,
            told: BTreeMap::new(),
        }
    }

    /// Passes on a configuration, with the next report if the ring is full now.
    pub fn adopt(&mut self, fleet: &Arc<Fleet>) {
        self.pending = Some(Arc::clone(fleet));
        self.told.retain(|id, _| fleet.servers.contains_key(id));
        self.flush();
    }

    /// Passes on a report if the weights in it are news. One that finds the ring full is passed
    /// on when the server reports again.
    pub fn report(&mut self, report: &LoadReport) {
        self.flush();
        let news = (report.weights, report.leaving);
        if self.told.get(&report.server) == Some(&news) {
            return;
        }
        let message = OrderMessage::Report(report.clone());
        if self.messages.try_send(message).is_ok() {
            self.told.insert(report.server.clone(), news);
        }
    }

    /// Passes on the weights that a server answered with, if they are news.
    pub fn observe(&mut self, server: &ServerId, weights: WeightsVersion) {
        self.flush();
        let news = (weights, false);
        if self.told.get(server) == Some(&news) {
            return;
        }
        let message = OrderMessage::WeightsObserved(server.clone(), weights);
        if self.messages.try_send(message).is_ok() {
            self.told.insert(server.clone(), news);
        }
    }

    fn flush(&mut self) {
        if let Some(fleet) = self.pending.take() {
            let sent = self
                .messages
                .try_send(OrderMessage::Configured(Arc::clone(&fleet)));
            self.pending = sent.is_err().then_some(fleet);
        }
    }
}
