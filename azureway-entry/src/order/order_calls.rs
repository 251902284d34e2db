//! The calls to backend servers that are on their way.

use std::collections::BTreeSet;

use azureway_core::prelude::{FencingNumber, LoadOrder, ServerId};
use tokio::task::JoinSet;

use super::{OrderLink, OrderReply};
use crate::memory::CallMemory;

/// The calls of the ordering duty that wait for an answer, so that no server holds up the orders to the
/// others.
#[derive(Debug)]
pub struct OrderCalls<L> {
    link: L,
    calls: JoinSet<OrderReply>,
    /// The servers that are being asked for the state of their orders.
    checked: BTreeSet<ServerId>,
    memory: CallMemory,
}

impl<L: OrderLink> OrderCalls<L> {
    /// Creates the state without calls.
    pub fn new(link: L) -> Self {
        Self {
            link,
            calls: JoinSet::new(),
            checked: BTreeSet::new(),
            memory: CallMemory::default(),
        }
    }

    /// Sets the memory that the answers take.
    pub fn set_memory(&mut self, memory: CallMemory) {
        self.memory = memory;
    }

    /// Starts to send an order.
    ///
    /// # Panics
    ///
    /// Panics outside a runtime.
    pub fn send(&mut self, order: LoadOrder, number: FencingNumber) {
        let call = self.link.send(&order, number, self.memory.open());
        self.calls
            .spawn(async move { OrderReply::Ordered(order, call.await) });
    }

    /// Starts to ask the server of an order for the state of its orders, unless it is being asked already.
    ///
    /// # Panics
    ///
    /// Panics outside a runtime.
    pub fn check(&mut self, order: LoadOrder) {
        if self.checked.insert(order.server.clone()) {
            let call = self.link.status(&order, self.memory.open());
            self.calls
                .spawn(async move { OrderReply::Checked(order, call.await) });
        }
    }

    /// Waits for the next reply. Waits without end if no call is on its way.
    pub async fn next(&mut self) -> OrderReply {
        loop {
            match self.calls.join_next().await {
                Some(Ok(reply)) => {
                    if let OrderReply::Checked(order, _) = &reply {
                        self.checked.remove(&order.server);
                    }
                    return reply;
                }
                Some(Err(e)) => {
                    self.checked.clear();
                    log::error!(step = "order", error:% = e; "a call to a server ended without a result");
                }
                None => std::future::pending().await,
            }
        }
    }

    /// Returns whether no call is on its way.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
