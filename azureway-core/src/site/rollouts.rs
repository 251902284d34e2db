//! The named weights of all models, and which older ones may still answer.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::{NamedWeights, RetiredWeights};
use crate::domain::{ModelId, Retirement, Rollout, Timestamp, WeightsVersion};
use crate::watch::Disturbance;

/// The rollouts of all models of a site.
#[derive(Clone, Debug)]
pub struct Rollouts {
    grace: Duration,
    /// The time from the end of the grace period to the limit, at which requests may no longer begin
    /// on older weights.
    margin: Duration,
    /// The time after a restore of the platform until it counts as stable.
    settle: Duration,
    /// The start of the process, before which it saw no weights being named.
    started: Timestamp,
    /// The end of the platform's last disturbance.
    undisturbed: Timestamp,
    named: BTreeMap<ModelId, NamedVersions>,
    retired: RetiredWeights,
}

/// The versions of a model's weights in the order in which they were named, each with the earliest
/// time at which it can have been named.
type NamedVersions = SmallVec<[(WeightsVersion, Timestamp); 4]>;

/// The number of named versions that are kept per model. It exceeds the number of versions that are
/// named while the oldest of them may still serve requests.
const NAMED_MAX: usize = 32;

impl Rollouts {
    /// Creates the state before any weights are known. Older weights may serve requests for `grace` after
    /// newer ones were named.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            margin: Duration::ZERO,
            settle: Duration::ZERO,
            started: Timestamp::ZERO,
            undisturbed: Timestamp::ZERO,
            named: BTreeMap::new(),
            retired: RetiredWeights::default(),
        }
    }

    /// Sets the time after a restore of the platform until it counts as stable.
    #[must_use]
    pub const fn with_settle(mut self, settle: Duration) -> Self {
        self.settle = settle;
        self
    }

    /// Sets the time from the end of the grace period of older weights to the limit, at which requests
    /// may no longer begin on them.
    #[must_use]
    pub const fn with_margin(mut self, margin: Duration) -> Self {
        self.margin = margin;
        self
    }

    /// Sets the start of the process. Weights older than those that it finds then are given up early. Processes
    /// that start later are told only once this one has run for the whole grace period.
    #[must_use]
    pub const fn with_start(mut self, start: Timestamp) -> Self {
        self.started = start;
        self
    }

    /// Returns the time at which weights count as named if a process finds them when it starts at
    /// `start`. The process cannot know when they were named. The returned time lets older weights
    /// serve requests for another `grace_left`.
    pub fn named_since(&self, start: Timestamp, grace_left: Duration) -> Timestamp {
        (start + grace_left).before(self.grace)
    }

    /// Adds weights that an operator named no earlier than at `since`. Returns whether they are
    /// newer than the known ones.
    pub fn add(&mut self, named: NamedWeights, since: Timestamp) -> bool {
        let known = self.named.entry(named.model).or_default();
        let newer = known.last().is_none_or(|(v, _)| *v < named.version);
        if newer {
            known.push((named.version, since));
            let excess = known.len().saturating_sub(NAMED_MAX);
            known.drain(..excess);
        }
        newer
    }

    /// Returns the newest weights that were named.
    pub fn newest(&self, model: &ModelId) -> Option<WeightsVersion> {
        let newest = self.named.get(model).and_then(|n| n.last());
        newest.map(|(version, _)| *version)
    }

    /// Records a disturbance of the platform, after which the grace period of older weights begins
    /// anew, unless it had ended before. After a restore, which disturbs all entries alike, the platform first
    /// has to become stable. Returns the weights whose grace period had ended.
    pub fn record_disturbance(&mut self, disturbance: Disturbance) -> Vec<(ModelId, Retirement)> {
        let retired = self.retire(disturbance.since);
        let settle = match disturbance.restored {
            true => self.settle,
            false => Duration::ZERO,
        };
        if disturbance.restored {
            self.retired.record_lost();
        }
        self.undisturbed = self.undisturbed.max(disturbance.until + settle);
        retired
    }

    /// Gives up the weights whose grace period has ended, where the platform was undisturbed until `until`.
    /// Returns those that were not given up before.
    pub fn retire(&mut self, until: Timestamp) -> Vec<(ModelId, Retirement)> {
        let mut retired = Vec::new();
        for (model, versions) in &self.named {
            let ended = |since: Timestamp| self.undisturbed.max(since) + self.grace;
            let newest = versions.iter().rfind(|(_, at)| ended(*at) <= until);
            if let Some((oldest, at)) = newest {
                let retirement = Retirement::new(*oldest, ended(*at));
                if self.retired.add(model, retirement) {
                    retired.push((model.clone(), retirement));
                }
            }
            let seen = |at: &Timestamp| ended(self.started.max(*at)) <= until;
            if let Some((oldest, _)) = versions.iter().rfind(|(_, at)| seen(at)) {
                self.retired.record_witnessed(model, *oldest);
            }
        }
        retired
    }

    /// Adds a retirement that the platform's store holds. Returns whether it gives up more weights.
    pub fn add_retired(&mut self, model: &ModelId, oldest: WeightsVersion) -> bool {
        self.retired.record_stored(model, oldest);
        // The process that stored it has seen the grace period.
        self.retired.record_witnessed(model, oldest);
        let retirement = Retirement::new(oldest, Timestamp::ZERO);
        self.retired.add(model, retirement)
    }

    /// Returns the retirements that the platform's store does not hold.
    pub fn unstored(&self) -> impl Iterator<Item = (&ModelId, WeightsVersion)> {
        self.retired.unstored()
    }

    /// Records that a retirement is being stored.
    pub fn record_stored(&mut self, model: &ModelId, oldest: WeightsVersion) {
        self.retired.record_stored(model, oldest);
    }

    /// Returns the rollout of a model whose servers should have `required` weights. A retirement beyond these
    /// would leave no server to use, and does not count.
    pub fn rollout(&self, model: &ModelId, required: WeightsVersion) -> Rollout {
        Rollout {
            model: model.clone(),
            versions: self.named.get(model).cloned().unwrap_or_default(),
            grace: self.grace,
            margin: self.margin,
            undisturbed: self.undisturbed,
            retired: self.retired.get(model).filter(|r| r.oldest <= required),
        }
    }
}
