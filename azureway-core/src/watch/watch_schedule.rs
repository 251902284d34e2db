//! The schedule by which an entry lists, watches or checks the platform's configuration.

use std::time::Duration;

use super::WatchStep;
use crate::domain::Timestamp;
use crate::error::ErrorKind;
use crate::retry::Backoff;

/// The schedule of an entry's calls to the platform for the configuration.
///
/// A selected entry watches continuously. Any other entry lists the objects when it starts, so that
/// it can serve at once. It then learns of changes from its peers, and calls the platform only
/// occasionally to check that it has missed none.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    selected: bool,
    version: Option<u64>,
    /// Whether the last call failed.
    failing: bool,
    next_call: Timestamp,
    backoff: Backoff,
    check_timer: Backoff,
    poll_timeout: Duration,
    batch_delay: Duration,
    /// Whether the batch delay grows while each answer reports changes.
    gathers: bool,
    /// The number of answers in a row that reported changes.
    bursts: u32,
}

/// The time for which the platform holds a watch call open if nothing changes.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// The initial delay after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest delay after a failure: half of the time within which a change has to take effect.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// The longest interval between two checks of an entry that does not watch.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// The number of answers in a row with changes after which the batch delay no longer grows.
const MAX_BURSTS: u32 = 3;

impl WatchSchedule {
    /// Creates the schedule of an entry, which counts as selected until
    /// [`set_selected`](Self::set_selected) is called. `seed` determines the jitter of the delays.
    pub const fn new(seed: u64) -> Self {
        Self {
            selected: true,
            version: None,
            failing: false,
            next_call: Timestamp::ZERO,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed),
            check_timer: Backoff::new(CHECK_INTERVAL, CHECK_INTERVAL, seed),
            poll_timeout: POLL_TIMEOUT,
            batch_delay: Duration::ZERO,
            gathers: false,
            bursts: 0,
        }
    }

    /// Sets how long the platform holds a watch call open, how long changes accumulate before the
    /// next watch, and the longest delay after a failure.
    #[must_use]
    pub fn with_timing(
        mut self,
        poll_timeout: Duration,
        batch_delay: Duration,
        backoff_cap: Duration,
    ) -> Self {
        (self.poll_timeout, self.batch_delay) = (poll_timeout, batch_delay);
        self.backoff = self.backoff.with_cap(backoff_cap);
        self
    }

    /// Sets whether the batch delay grows while each answer reports changes.
    #[must_use]
    pub const fn with_gathering(mut self, gathers: bool) -> Self {
        self.gathers = gathers;
        self
    }

    /// Records whether the entry is selected to watch.
    pub fn set_selected(&mut self, selected: bool, now: Timestamp) {
        if selected && !self.selected {
            self.next_call = self.next_call.min(now);
        }
        self.selected = selected;
    }

    /// Returns the call to make at `now`.
    pub fn next(&self, now: Timestamp) -> WatchStep {
        if now < self.next_call {
            return WatchStep::Wait(self.next_call);
        }
        match self.version {
            None => WatchStep::List,
            // A platform that has just failed may accept a call and never respond. A call without a
            // poll timeout fails sooner then, so the entry notices a recovery sooner.
            Some(version) if self.selected && !self.failing => WatchStep::Watch(
                version,
                self.poll_timeout.saturating_sub(self.extra_delay()),
            ),
            Some(version) => WatchStep::Watch(version, Duration::ZERO),
        }
    }

    /// Records a response that includes all changes up to `version`.
    pub fn record_success(&mut self, version: u64, now: Timestamp) {
        self.backoff.reset();
        self.failing = false;
        self.version = Some(version);
        self.next_call = if self.selected {
            now + self.batch_delay
        } else {
            now + self.check_timer.next_delay()
        };
    }

    /// Records how many changes the last answer reported. While each answer reports some, the next
    /// watch waits longer for them to accumulate.
    pub fn record_changes(&mut self, count: usize) {
        self.bursts = match count {
            _ if !self.gathers => 0,
            0 => 0,
            _ => (self.bursts + 1).min(MAX_BURSTS),
        };
        if self.selected {
            self.next_call = self.next_call + self.extra_delay();
        }
    }

    /// Returns the time for which changes accumulate beyond the batch delay. The watch that follows is
    /// shorter by as much, so that the time from one answer to the next stays bounded.
    fn extra_delay(&self) -> Duration {
        self.batch_delay * self.bursts.saturating_sub(1)
    }

    /// Records that every change up to `version` became known in another way while calls failed.
    pub fn record_relayed(&mut self, version: u64) {
        self.version = self.version.map(|known| known.max(version));
    }

    /// Returns the version up to which every change is known, if changes after it can be asked for.
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Records a failed call. If the platform was neither unavailable nor limiting the rate, it may
    /// no longer know the version, so the next call lists all objects.
    pub fn record_failure(&mut self, kind: ErrorKind, now: Timestamp) {
        self.failing = true;
        if !matches!(kind, ErrorKind::Unavailable | ErrorKind::Limited) {
            self.version = None;
        }
        // An entry that only checks for missed changes retries slowly, to leave the capacity of the
        // platform to the entries that watch.
        let checks_only = !self.selected && self.version.is_some();
        let delay = if checks_only {
            self.check_timer.next_delay()
        } else {
            self.backoff.next_delay()
        };
        self.next_call = now + delay;
    }
}
