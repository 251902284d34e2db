//! The way of an order to a backend server.

use azureway_core::prelude::{FencingNumber, LoadOrder, WeightsVersion};

use super::OrderAnswer;

/// The way of an order to a backend server.
pub trait OrderLink {
    /// Sends an order and waits for the answer, for far less than the margin of a lease.
    fn send(&self, order: &LoadOrder, number: FencingNumber) -> OrderAnswer;

    /// Asks the server of an order which weights it has now. Returns `None` if it is still
    /// loading or does not say.
    fn weights(&self, order: &LoadOrder) -> Option<WeightsVersion>;
}
