//! The order by which the lease holder has a backend server load weights.

use azureway_core::prelude::{FencingNumber, LoadOrder};
use serde::{Deserialize, Serialize};

/// The body of an order to load weights. It states the desired state, not a change.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct OrderBody {
    /// The weights version to load.
    pub weights: u64,
    /// The fencing number of the lease holder that gives the order.
    pub fencing: u64,
    /// The version of the configuration that requires the weights.
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
