//! A backend server that is about to load weights.

use std::time::Duration;

use crate::domain::{ServerId, WeightsVersion};

/// A backend server that is about to load weights, and takes no work meanwhile. Whoever gives
/// the order tells all peers at once, so that none sends it requests that it would reject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadNotice {
    /// The server.
    pub server: ServerId,
    /// The weights that it will have.
    pub weights: WeightsVersion,
    /// How long it is expected to take.
    pub duration: Duration,
}
