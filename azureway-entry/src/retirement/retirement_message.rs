//! The input of the duty that keeps retirements.

use azureway_core::prelude::{ModelId, WeightsVersion};

/// A message to the duty that keeps retirements of weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetirementMessage {
    /// The weights of a model that are older than these were given up.
    Store(ModelId, WeightsVersion),
    /// The platform is back after a disturbance, in which others may have stored retirements.
    Read,
}
