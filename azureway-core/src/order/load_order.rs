//! An order to load weights.

use std::net::SocketAddr;

use super::LoadMode;
use crate::domain::{ConfigVersion, ModelId, ServerId, WeightsVersion};

/// An order to load weights. It states the desired end: a server that has the weights does
/// nothing, so that a late or doubled order does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it refuses an order with an old fencing number.
    pub fenced: bool,
    /// The model, where the configuration names it.
    pub model: Option<ModelId>,
    /// The weights to have.
    pub weights: WeightsVersion,
    /// What becomes of the runs of the server.
    pub mode: LoadMode,
    /// The version of the configuration that asks for them.
    pub config: ConfigVersion,
}
