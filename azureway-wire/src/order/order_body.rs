//! The body of an order.

use azureway_core::prelude::{FencingNumber, LoadOrder};
use serde::{Deserialize, Serialize};

/// The body of an order to load weights, which states the desired end.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct OrderBody {
    /// The weights to have.
    pub weights: u64,
    /// The fencing number of whoever gives the order.
    pub fencing: u64,
    /// The version of the configuration that asks for the weights.
    pub config: u64,
}

impl OrderBody {
    /// Creates the body of an order under a fencing number.
    pub const fn new(order: &LoadOrder, number: FencingNumber) -> Self {
        Self {
            weights: order.weights.get(),
            fencing: number.get(),
            config: order.config.get(),
        }
    }
}
