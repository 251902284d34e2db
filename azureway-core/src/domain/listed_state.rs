//! What the platform's list says of a running backend server.

use super::{Incarnation, WeightsVersion};

/// What the platform's list says of a running backend server. The list lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedState {
    /// The life of the server.
    pub incarnation: Incarnation,
    /// The weights that it has loaded, where it serves a model.
    pub weights: Option<WeightsVersion>,
}
