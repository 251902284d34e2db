//! The notice before a load order, which keeps peers from sending the server requests.

use std::time::Duration;

use crate::domain::{ServerId, WeightsVersion};

/// The notice that a backend server is about to load weights and accepts no requests meanwhile.
///
/// The entry that gives the load order sends it to all peers at once, so that none of them sends
/// the server requests that it would reject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadNotice {
    /// The server that loads the weights.
    pub server: ServerId,
    /// The weights version that it loads.
    pub weights: WeightsVersion,
    /// The expected time of the load.
    pub duration: Duration,
}
