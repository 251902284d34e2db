//! Orders over HTTP.

use azureway_core::prelude::{FencingNumber, LoadOrder, WeightsVersion};
use azureway_wire::order::OrderBody;

use super::{OrderAnswer, OrderLink};

/// Orders over HTTP, as `POST /v1/orders`.
///
/// Servers of the plain interface end their runs before they load, whatever mode an order has.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpOrders;

/// The limit of a call, in seconds.
const TIMEOUT: u64 = 1;

impl HttpOrders {
    /// Creates the link.
    pub const fn new() -> Self {
        Self
    }
}

impl OrderLink for HttpOrders {
    /// The product's engines tell of their weights by themselves, at once.
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
                log::warn!(step = "order", peer:% = order.server, answer:? = other; "an order failed");
                OrderAnswer::Failed
            }
        }
    }
}
