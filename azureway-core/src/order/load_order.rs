//! The order that the holder of the lease sends to a backend server.

use std::net::SocketAddr;

use super::LoadMode;
use crate::domain::{ConfigVersion, Incarnation, ModelId, ServerId, WeightsVersion};

/// An order to a backend server to load weights.
///
/// It is idempotent: a server that already has the weights does nothing. A server that counts its orders
/// rejects one that names another number of accepted orders, so a late or duplicate order does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The server that loads the weights.
    pub server: ServerId,
    /// The address of the server.
    pub address: SocketAddr,
    /// Whether the server rejects an order with an old fencing number.
    pub fenced: bool,
    /// The model, if the configuration names it.
    pub model: Option<ModelId>,
    /// The weights version to load.
    pub weights: WeightsVersion,
    /// The way the server treats its running requests.
    pub mode: LoadMode,
    /// The configuration version that requires the weights.
    pub config: ConfigVersion,
    /// The incarnation of the server for which the order was planned, or zero if it is not known.
    pub incarnation: Incarnation,
    /// The number of orders that the server must have accepted before this one.
    pub accepted: u64,
    /// Whether an earlier order to the server got no answer.
    pub repeated: bool,
}
