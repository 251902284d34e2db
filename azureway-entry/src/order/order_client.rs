//! Non-blocking messages from the deciding duty to the ordering duty.

use std::collections::BTreeMap;
use std::sync::Arc;

use azureway_core::prelude::{Fleet, LoadReport, ServerId, ServerTable, Timestamp, WeightsVersion};
use flume::Sender;

use super::OrderMessage;

/// The deciding duty's client of the ordering duty. It forwards configurations and changes of
/// weights without blocking.
#[derive(Debug)]
pub struct OrderClient {
    messages: Sender<OrderMessage>,
    /// A configuration that did not fit into the ring.
    pending: Option<Arc<Fleet>>,
    /// The weights of each server as last forwarded, and whether the server is leaving.
    forwarded: BTreeMap<ServerId, (WeightsVersion, bool)>,
    /// The servers that are held, each with the end of its pause as last forwarded.
    held: BTreeMap<ServerId, Timestamp>,
}

impl OrderClient {
    /// Creates a client that sends to the ring `messages`.
    pub const fn new(messages: Sender<OrderMessage>) -> Self {
        Self {
            messages,
            pending: None,
            forwarded: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Forwards a configuration. If the ring is full, it is sent before the next message.
    pub fn reconfigure(&mut self, fleet: &Arc<Fleet>) {
        self.pending = Some(Arc::clone(fleet));
        self.forwarded
            .retain(|id, _| fleet.servers.contains_key(id));
        self.flush();
    }

    /// Forwards a report if its weights or its leaving state have changed. If the ring is full, the
    /// server's next report is forwarded instead.
    pub fn forward_report(&mut self, report: &LoadReport) {
        self.flush();
        let state = (report.weights, report.leaving);
        if self.forwarded.get(&report.server) == Some(&state) {
            return;
        }
        let message = OrderMessage::Report(report.clone());
        if self.messages.try_send(message).is_ok() {
            self.forwarded.insert(report.server.clone(), state);
        }
    }

    /// Forwards the weights that a server answered with, if they have changed.
    pub fn forward_weights(&mut self, server: &ServerId, weights: WeightsVersion) {
        self.flush();
        let state = (weights, false);
        if self.forwarded.get(server) == Some(&state) {
            return;
        }
        let message = OrderMessage::WeightsObserved(server.clone(), weights);
        if self.messages.try_send(message).is_ok() {
            self.forwarded.insert(server.clone(), state);
        }
    }

    /// Begins to forward the pause of a server.
    pub fn hold(&mut self, server: &ServerId) {
        self.held.entry(server.clone()).or_default();
    }

    /// Forwards the pauses of held servers that have changed, among them those that ended with a new
    /// incarnation. If the ring is full, they are forwarded at the next call.
    pub fn update_holds(&mut self, servers: &ServerTable, now: Timestamp) {
        let messages = &self.messages;
        self.held.retain(|server, forwarded| {
            let pause = servers.get(server).map(|s| s.pause.until());
            let until = pause.unwrap_or_default();
            let message = || OrderMessage::Held(server.clone(), until);
            if until != *forwarded && messages.try_send(message()).is_ok() {
                *forwarded = until;
            }
            // A pause that was not forwarded in time needs no end.
            now < until || now < *forwarded
        });
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
