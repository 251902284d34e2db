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

impl ListedState {
    /// Returns whether the server has older weights than the list said before of the same incarnation. An
    /// order that was given long ago can take a server back.
    pub fn is_reverted(&self, before: Option<Self>) -> bool {
        let same = before.filter(|b| b.incarnation == self.incarnation);
        same.is_some_and(|before| self.weights.is_some() && self.weights < before.weights)
    }
}
