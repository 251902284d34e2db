//! Load orders to backend servers of azureway's own HTTP interface.

use std::time::Duration;

use azureway_core::prelude::{FencingNumber, LoadOrder, WeightsVersion};
use azureway_wire::order::OrderBody;

use super::{OrderAnswer, OrderLink};
use crate::exchange::BackendConnection;

/// Sends load orders over HTTP, as `POST /v1/orders`.
///
/// Servers of this interface complete their running requests before they load, whatever the mode
/// of the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpOrders;

/// The time after which an order that a server has not answered counts as failed.
const TIMEOUT: Duration = Duration::from_secs(1);

impl HttpOrders {
    /// Creates the transport.
    pub const fn new() -> Self {
        Self
    }
}

impl OrderLink for HttpOrders {
    /// Returns `None`, since the servers of this interface report new weights at once by
    /// themselves.
    fn weights(&self, _: &LoadOrder) -> Option<WeightsVersion> {
        None
    }

    fn send(&self, order: &LoadOrder, number: FencingNumber) -> OrderAnswer {
        let body = match serde_json::to_string(&OrderBody::new(order, number)) {
            Ok(body) => body,
            Err(e) => {
                log::error!(step = "order", peer:% = order.server, error:% = e; "a load order cannot be serialized");
                return OrderAnswer::Failed;
            }
        };
        let answer = BackendConnection::post_json(order.address, "/v1/orders", &[], &body, TIMEOUT);
        match answer.map(|(head, _)| head.status) {
            Ok(200..=299) => OrderAnswer::Taken,
            Ok(409) => OrderAnswer::Fenced,
            other => {
                log::warn!(step = "order", peer:% = order.server, answer:? = other; "a load order failed");
                OrderAnswer::Failed
            }
        }
    }
}
