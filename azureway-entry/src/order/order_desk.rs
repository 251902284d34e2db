//! The deciding duty's side of orders.

use std::sync::Arc;

use azureway_core::prelude::{Fleet, LoadReport};
use flume::Sender;

use super::OrderNote;

/// The deciding duty's side of orders: passes on what the ordering duty has to know, without
/// waiting for it.
#[derive(Debug)]
pub struct OrderDesk {
    notes: Sender<OrderNote>,
    pending: Option<Arc<Fleet>>,
}

impl OrderDesk {
    /// Creates a desk that writes to a ring.
    pub const fn new(notes: Sender<OrderNote>) -> Self {
        Self {
            notes,
            pending: None,
        }
    }

    /// Passes on a configuration, with the next report if the ring is full now.
    pub fn adopt(&mut self, fleet: &Arc<Fleet>) {
        self.pending = Some(Arc::clone(fleet));
        self.flush();
    }

    /// Passes on a report. One that finds the ring full is lost; servers report again.
    pub fn report(&mut self, report: &LoadReport) {
        self.flush();
        let _ = self.notes.try_send(OrderNote::Report(report.clone()));
    }

    fn flush(&mut self) {
        if let Some(fleet) = self.pending.take() {
            let sent = self.notes.try_send(OrderNote::Adopt(Arc::clone(&fleet)));
            self.pending = sent.is_err().then_some(fleet);
        }
    }
}
