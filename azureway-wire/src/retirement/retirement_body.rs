//! The retirement of a model's older weights.

use azureway_core::prelude::WeightsVersion;
use serde::{Deserialize, Serialize};

/// The stored form of a retirement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RetirementBody {
    /// The oldest weights that may still answer.
    pub oldest: u64,
}

impl From<WeightsVersion> for RetirementBody {
    fn from(oldest: WeightsVersion) -> Self {
        Self {
            oldest: oldest.get(),
        }
    }
}

impl From<RetirementBody> for WeightsVersion {
    fn from(body: RetirementBody) -> Self {
        Self::new(body.oldest)
    }
}
