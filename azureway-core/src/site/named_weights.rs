//! Weights that an operator named.

use crate::domain::{ModelId, WeightsVersion};

/// The weights of a model that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: WeightsVersion,
}
