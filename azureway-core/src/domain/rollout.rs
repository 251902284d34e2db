//! Which older weights may still answer while a service changes to newer ones.

use std::time::Duration;

use smallvec::SmallVec;

use super::{ModelId, Retirement, Timestamp, WeightsVersion};

/// The rollout of a service to newly named weights while requests run.
///
/// The grace period of a version starts when the first newer one is named, so naming yet another
/// version does not extend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The model that the weights belong to.
    pub model: ModelId,
    /// The versions in the order in which they were named, each with the earliest time at which
    /// it can have been named.
    pub versions: SmallVec<[(WeightsVersion, Timestamp); 4]>,
    /// The time for which requests may still be sent to older weights after newer ones are named.
    pub grace: Duration,
    /// The time from the end of the grace period to the limit, at which requests may no longer begin
    /// on older weights.
    pub margin: Duration,
    /// The end of the platform's last disturbance. The grace period does not begin earlier, since
    /// nobody could order servers to load the newer weights.
    pub undisturbed: Timestamp,
    /// The weights whose grace period has ended for good, if there are any: a later disturbance does not bring
    /// them back.
    pub retired: Option<Retirement>,
}

/// The time after newer weights are named for which answers from older ones keep their full worth.
/// The rollout needs this time to start.
const FULL_WORTH_TIME: Duration = Duration::from_millis(1_500);

/// The factor by which a wait may exceed its estimate. The load of a server that the estimate rests on
/// lags, and other entries send to the same server.
const WAIT_FACTOR: u32 = 2;
/// The time before the limit at which attempts that have not begun are recalled. A closed connection
/// must reach the server before the limit, also over a slow link.
const RECALL_MARGIN: Duration = Duration::from_millis(500);

impl Rollout {
    /// Returns whether answers from weights `loaded` are worth less than their full worth at `now`,
    /// because newer weights were named some time ago.
    pub fn is_outdated(&self, loaded: WeightsVersion, now: Timestamp) -> bool {
        self.superseded_at(loaded)
            .is_some_and(|at| now >= at + FULL_WORTH_TIME)
    }

    /// Returns whether weights `loaded` may answer a request that is sent at `now`.
    pub fn allows(&self, loaded: WeightsVersion, now: Timestamp) -> bool {
        self.grace_end(loaded).is_none_or(|end| now < end)
    }

    /// Returns whether a request that is sent at `now` to a server with weights `loaded`, where it is
    /// expected to wait for `wait`, may begin there. The wait is asked for only if newer weights are named.
    pub fn allows_start(
        &self,
        loaded: WeightsVersion,
        now: Timestamp,
        wait: impl FnOnce() -> Duration,
    ) -> bool {
        let latest = || now + wait().saturating_mul(WAIT_FACTOR);
        let end = self.grace_end(loaded);
        end.is_none_or(|end| now < end && latest() < end + self.margin)
    }

    /// Returns the time at which requests may no longer begin on weights `loaded`, or `None` if no
    /// newer ones are named.
    pub fn start_limit(&self, loaded: WeightsVersion) -> Option<Timestamp> {
        self.grace_end(loaded).map(|end| end + self.margin)
    }

    /// Returns the time at which requests that were sent to weights `loaded` and have not begun are
    /// recalled, or `None` if no newer weights are named.
    pub fn recall_at(&self, loaded: WeightsVersion) -> Option<Timestamp> {
        let wait = self.margin.saturating_sub(RECALL_MARGIN);
        self.grace_end(loaded).map(|end| end + wait)
    }

    /// Returns the time at which requests may no longer be sent to weights `loaded`, or `None` if no
    /// newer ones are named.
    fn grace_end(&self, loaded: WeightsVersion) -> Option<Timestamp> {
        let named = self.superseded_at(loaded);
        let end = named.map(|at| at.max(self.undisturbed) + self.grace);
        match self.retired.filter(|r| loaded < r.oldest) {
            Some(retired) => Some(end.map_or(retired.ended, |end| end.min(retired.ended))),
            None => end,
        }
    }

    /// Returns the time at which the first weights newer than `loaded` were named.
    fn superseded_at(&self, loaded: WeightsVersion) -> Option<Timestamp> {
        let newer = self.versions.iter().find(|(version, _)| *version > loaded);
        newer.map(|(_, at)| *at)
    }
}
