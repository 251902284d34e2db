//! The operator's choice of weights, which starts a rollout.

use crate::domain::{ModelId, WeightsVersion};

/// The weights that an operator named as the ones that a model should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model that uses the weights.
    pub model: ModelId,
    /// The version of the weights.
    pub version: WeightsVersion,
}
