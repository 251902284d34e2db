//! What a backend server tells of the orders that it got.

use crate::domain::WeightsVersion;

/// The state of a backend server's orders, as the server told it a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderStatus {
    /// The weights version that the server has loaded.
    pub weights: WeightsVersion,
    /// Whether the server is carrying out an order.
    pub busy: bool,
    /// The number of orders that the server has accepted since its start.
    pub accepted: u64,
}
