//! When an entry asks the platform.

use std::time::Duration;

use super::WatchStep;
use crate::domain::Timestamp;
use crate::error::ErrorKind;
use crate::retry::Backoff;

/// When an entry asks the platform for the configuration.
///
/// A chosen entry keeps a watch. Another one asks once when it starts, so that it serves at
/// once, then hears from its peers and only checks now and then that it has missed nothing.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    chosen: bool,
    after: Option<u64>,
    /// Whether the last call failed.
    failing: bool,
    due: Timestamp,
    backoff: Backoff,
    checks: Backoff,
    wait: Duration,
    gap: Duration,
}

/// How long the platform keeps a watch that has no news.
const WAIT: Duration = Duration::from_secs(5);
/// The first wait after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest wait after a failure: half of the time in which a change is in force.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// The longest time between two checks of an entry that does not watch.
const CHECK_TIME: Duration = Duration::from_secs(60);

impl WatchSchedule {
    /// Creates the plan of an entry that is chosen until it hears otherwise. `seed` spreads
    /// entries that fail together.
    pub const fn new(seed: u64) -> Self {
        Self {
            chosen: true,
            after: None,
            failing: false,
            due: Timestamp::ZERO,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed),
            checks: Backoff::new(CHECK_TIME, CHECK_TIME, seed),
            wait: WAIT,
            gap: Duration::ZERO,
        }
    }

    /// Sets how long the platform keeps a watch that has no news, how long changes are
    /// gathered before the next watch, and the longest wait after a failure.
    #[must_use]
    pub fn with_timing(mut self, wait: Duration, gap: Duration, cap: Duration) -> Self {
        (self.wait, self.gap) = (wait, gap);
        self.backoff = self.backoff.with_cap(cap);
        self
    }

    /// Notes whether the entry is chosen to watch.
    pub fn set_selected(&mut self, chosen: bool, now: Timestamp) {
        if chosen && !self.chosen {
            self.due = self.due.min(now);
        }
        self.chosen = chosen;
    }

    /// Returns what is to be asked at `now`.
    pub fn next(&self, now: Timestamp) -> WatchStep {
        if now < self.due {
            return WatchStep::Wait(self.due);
        }
        match self.after {
            None => WatchStep::List,
            // A platform that has just failed may take a call in and be silent: the sooner the
            // call ends, the sooner its return is seen.
            Some(version) if self.chosen && !self.failing => WatchStep::Watch(version, self.wait),
            Some(version) => WatchStep::Watch(version, Duration::ZERO),
        }
    }

    /// Notes an answer that is complete up to `version`.
    pub fn record_success(&mut self, version: u64, now: Timestamp) {
        self.backoff.reset();
        self.failing = false;
        self.after = Some(version);
        self.due = if self.chosen {
            now + self.gap
        } else {
            now + self.checks.next_delay()
        };
    }

    /// Notes a failure. A platform that does not understand the version is asked for all.
    pub fn record_failure(&mut self, kind: ErrorKind, now: Timestamp) {
        self.failing = true;
        if !matches!(kind, ErrorKind::Unavailable | ErrorKind::Limited) {
            self.after = None;
        }
        // Who only checks leaves the platform to those who watch.
        let checks = !self.chosen && self.after.is_some();
        let wait = if checks {
            self.checks.next_delay()
        } else {
            self.backoff.next_delay()
        };
        self.due = now + wait;
    }
}
