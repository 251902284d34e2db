//! The weights that a service is being brought to.

use std::time::Duration;

use super::{ModelId, Timestamp};

/// How long answers from older weights are worth as much as others, which gives a rollout time
/// to begin.
const FREE_TIME: Duration = Duration::from_millis(1_500);

/// How a service is brought to newly named weights while requests run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The model.
    pub model: ModelId,
    /// When this process learned of the weights.
    pub named: Timestamp,
    /// How long older weights may still answer.
    pub grace: Duration,
}

impl Rollout {
    /// Tells whether answers from older weights are worth less at `now`.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.named + FREE_TIME
    }

    /// Tells whether older weights may answer a request that is sent at `now`.
    pub fn allows_older(&self, now: Timestamp) -> bool {
        now < self.named + self.grace
    }
}
