//! Load orders to backend servers of azureway's own HTTP interface.

use std::future::{self, Future};
use std::time::Duration;

use azureway_core::prelude::{FencingNumber, LoadOrder, OrderAnswer, OrderStatus};
use azureway_wire::order::OrderBody;

use super::OrderLink;
use crate::exchange::ServerCall;
use crate::memory::MemoryHold;

/// Sends load orders over HTTP, as `POST /v1/orders`.
///
/// Servers of this interface complete their running requests before they load, whatever the mode
/// of the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpOrders;

/// The time after which an order that a server has not answered counts as unanswered.
const TIMEOUT: Duration = Duration::from_secs(1);

impl HttpOrders {
    /// Creates the transport.
    pub const fn new() -> Self {
        Self
    }
}

impl OrderLink for HttpOrders {
    fn send(
        &self,
        order: &LoadOrder,
        number: FencingNumber,
        hold: MemoryHold,
    ) -> impl Future<Output = OrderAnswer> + Send + 'static {
        let body = serde_json::to_string(&OrderBody::new(order, number));
        let (server, address) = (order.server.clone(), order.address);
        let call = body.map(|b| ServerCall::post_json(address, "/v1/orders", b, TIMEOUT));
        async move {
            let call = match call {
                Ok(call) => call,
                Err(e) => {
                    log::error!(step = "order", peer:% = server, error:% = e; "a load order cannot be serialized");
                    return OrderAnswer::Failed;
                }
            };
            match call.run(&hold).await {
                Ok(answer) if (200..300).contains(&answer.status) => OrderAnswer::Taken,
                Ok(answer) if answer.status == 409 => OrderAnswer::Fenced,
                Ok(answer) => {
                    log::warn!(step = "order", peer:% = server, status = answer.status; "a load order failed");
                    OrderAnswer::Failed
                }
                Err(e) => {
                    log::warn!(step = "order", peer:% = server, error:% = e; "a load order failed");
                    OrderAnswer::from(&e)
                }
            }
        }
    }

    /// Returns `None`, since the servers of this interface report new weights at once by
    /// themselves.
    fn status(
        &self,
        _: &LoadOrder,
        _: MemoryHold,
    ) -> impl Future<Output = Option<OrderStatus>> + Send + 'static {
        future::ready(None)
    }
}
