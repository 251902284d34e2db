//! The platform's view of a running backend server.

use super::{Incarnation, WeightsVersion};

/// The state of a running backend server in the platform's list, which lags behind the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedState {
    /// The incarnation of the server.
    pub incarnation: Incarnation,
    /// The weights version that the server has loaded, if it serves a model.
    pub weights: Option<WeightsVersion>,
}
