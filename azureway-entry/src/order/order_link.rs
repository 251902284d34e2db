//! The protocol of load orders, which differs between kinds of backend servers.

use std::future::Future;

use azureway_core::prelude::{FencingNumber, LoadOrder, OrderAnswer, OrderStatus};

use crate::memory::MemoryHold;

/// The transport of load orders to backend servers. The calls of one duty run at the same time, each with a
/// hold of the memory that its answer takes.
pub trait OrderLink {
    /// Returns the call that sends an order. It must end much sooner than the safety margin before the
    /// lease expires.
    fn send(
        &self,
        order: &LoadOrder,
        number: FencingNumber,
        hold: MemoryHold,
    ) -> impl Future<Output = OrderAnswer> + Send + 'static;

    /// Returns the call that asks the server of an order for the state of its orders. The result is `None`
    /// if the server does not tell it.
    fn status(
        &self,
        order: &LoadOrder,
        hold: MemoryHold,
    ) -> impl Future<Output = Option<OrderStatus>> + Send + 'static;
}
