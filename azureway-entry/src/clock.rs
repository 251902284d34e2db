//! The clock of the daemon.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use azureway_core::prelude::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The clock of the daemon: the one place where time enters the decisions.
///
/// It counts the time for which the machine was suspended, unlike the clock of [`Instant`]: a
/// lease, a bound on a rollout or a suspicion must not outlive a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

/// How long before its start the origin of a clock lies: longer than any bound that is counted
/// from a time that nobody knows.
const PAST: Duration = Duration::from_secs(3_600);

impl Clock {
    /// Creates a clock whose origin lies in the past, so that [`Timestamp::ZERO`] is long ago.
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Timestamp {
        let micros = (since_boot().saturating_sub(self.origin) + PAST).as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the time of day, in seconds of the Unix epoch. Only the age of claims uses it.
    pub fn unix_seconds() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |t| t.as_secs())
    }

    /// Returns the system's own form of a time, just after it.
    pub fn instant(&self, time: Timestamp) -> Instant {
        // A deadline is past only after its microsecond, so the wake-up lies one later.
        Instant::now() + time.since(self.now()) + Duration::from_micros(1)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the machine was started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (u64::try_from(time.tv_sec), u32::try_from(time.tv_nsec));
    // The kernel gives neither a negative time nor more than a second of nanoseconds.
    Duration::new(seconds.unwrap_or_default(), nanos.unwrap_or_default())
}
