//! The weights that a service is being brought to.

use std::time::Duration;

use smallvec::SmallVec;

use super::{ModelId, Timestamp, WeightsVersion};

/// How a service is brought to newly named weights while requests run.
///
/// Each version has a time of its own: naming yet another one gives older weights no more time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The model.
    pub model: ModelId,
    /// The versions in the order of their names, each with the earliest time at which it can
    /// have been named.
    pub versions: SmallVec<[(WeightsVersion, Timestamp); 4]>,
    /// How long older weights may still answer.
    pub grace: Duration,
}

/// How long answers from older weights are worth as much as others, which gives a rollout time
/// to begin.
const FULL_VALUE_PERIOD: Duration = Duration::from_millis(1_500);

impl Rollout {
    /// Tells whether answers from weights `loaded` are worth less at `now`.
    pub fn is_outdated(&self, loaded: WeightsVersion, now: Timestamp) -> bool {
        self.superseded_at(loaded)
            .is_some_and(|at| now >= at + FULL_VALUE_PERIOD)
    }

    /// Tells whether weights `loaded` may answer a request that is sent at `now`.
    pub fn allows(&self, loaded: WeightsVersion, now: Timestamp) -> bool {
        self.superseded_at(loaded)
            .is_none_or(|at| now < at + self.grace)
    }

    /// Returns when the first weights that are newer than `loaded` were named.
    fn superseded_at(&self, loaded: WeightsVersion) -> Option<Timestamp> {
        let newer = self.versions.iter().find(|(version, _)| *version > loaded);
        newer.map(|(_, at)| *at)
    }
}
