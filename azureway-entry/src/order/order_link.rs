//! The protocol of load orders, which differs between kinds of backend servers.

use azureway_core::prelude::{FencingNumber, LoadOrder, WeightsVersion};

use super::OrderAnswer;

/// The transport of load orders to backend servers.
pub trait OrderLink {
    /// Sends an order and waits for the answer. The wait must be much shorter than the safety
    /// margin before the lease expires.
    fn send(&self, order: &LoadOrder, number: FencingNumber) -> OrderAnswer;

    /// Requests the weights version that the server of an order has loaded. Returns `None` if the
    /// server is still loading or does not report it.
    fn weights(&self, order: &LoadOrder) -> Option<WeightsVersion>;
}
