//! Older weights that were given up for good.

use super::{Timestamp, WeightsVersion};

/// The end of a rollout for older weights: from then on no request begins on them. It stands whatever happens to
/// the platform later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// The oldest weights that may still answer.
    pub oldest: WeightsVersion,
    /// The time at which the grace period of the older ones ended.
    pub ended: Timestamp,
}

impl Retirement {
    /// Creates the retirement of the weights older than `oldest`, whose grace period ended at `ended`.
    pub const fn new(oldest: WeightsVersion, ended: Timestamp) -> Self {
        Self { oldest, ended }
    }
}
