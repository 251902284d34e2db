//! Load orders to backend servers of azureway's own HTTP interface.

use azureway_core::prelude::{FencingNumber, LoadOrder, WeightsVersion};
use azureway_wire::order::OrderBody;

use super::{OrderAnswer, OrderLink};

/// Sends load orders over HTTP, as `POST /v1/orders`.
///
/// Servers of this interface complete their running requests before they load, whatever the mode
/// of the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpOrders;

/// The time after which an order that a server has not answered counts as failed, in seconds.
const TIMEOUT: u64 = 1;

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
        let Ok(body) = serde_json::to_string(&OrderBody::new(order, number)) else {
            return OrderAnswer::Failed;
        };
        let url = format!("http://{}/v1/orders", order.address);
        let answer = minreq::post(url)
            .with_timeout(TIMEOUT)
            .with_header("content-type", "application/json")
            .with_body(body)
            .send();
        match answer.map(|a| a.status_code) {
            Ok(200..=299) => OrderAnswer::Taken,
            Ok(409) => OrderAnswer::Fenced,
            other => {
                log::warn!(step = "order", peer:% = order.server, answer:? = other; "a load order failed");
                OrderAnswer::Failed
            }
        }
    }
}
