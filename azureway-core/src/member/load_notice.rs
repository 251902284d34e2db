//! The notice before a load order, which keeps peers from sending the server requests.

use std::time::Duration;

use crate::domain::{ServerId, WeightsVersion};

/// The notice that a backend server is about to load weights and accepts no requests meanwhile, or that
/// this has ended.
///
/// The entry that gives the load order sends it to all peers at once, so that none of them sends
/// the server requests that it would reject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadNotice {
    /// The server that loads the weights.
    pub server: ServerId,
    /// The weights version that it loads, or zero if it does not load for now.
    pub weights: WeightsVersion,
    /// The expected time of the load.
    pub duration: Duration,
}

impl LoadNotice {
    /// Creates the notice that a server does not load for now, although it was announced.
    pub const fn withdrawn(server: ServerId) -> Self {
        Self {
            server,
            weights: WeightsVersion::ZERO,
            duration: Duration::ZERO,
        }
    }
}
