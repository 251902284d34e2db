//! The result of a call of the ordering duty to a backend server.

use azureway_core::prelude::{LoadOrder, OrderAnswer, OrderStatus};

/// The result of a call to a backend server.
#[derive(Clone, Debug)]
pub enum OrderReply {
    /// An order was sent.
    Ordered(LoadOrder, OrderAnswer),
    /// The server of an order was asked for the state of its orders.
    Checked(LoadOrder, Option<OrderStatus>),
}
