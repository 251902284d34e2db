//! Time for decisions, which also counts while the machine is suspended.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use azureway_core::prelude::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The clock of the daemon, and the only source of time for decisions.
///
/// Unlike [`Instant`] it includes the time for which the machine was suspended: a lease, a rollout
/// limit or a suspicion must not outlive a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

/// The time that a new clock shows. It is longer than any timeout, so that a timeout counted from
/// an unknown time, [`Timestamp::ZERO`], has expired.
const START_TIME: Duration = Duration::from_secs(3_600);

impl Clock {
    /// Creates a clock that starts at one hour, so that [`Timestamp::ZERO`] is long past.
    pub fn new() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        let micros = (since_boot().saturating_sub(self.origin) + START_TIME).as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time in seconds since the Unix epoch. Only the age
    /// of claims and the end of stored quarantines use it.
    pub fn unix_seconds() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |t| t.as_secs())
    }

    /// Returns the [`Instant`] just after a time.
    pub fn instant(&self, time: Timestamp) -> Instant {
        // A deadline expires only after its microsecond, so the wake-up is one microsecond later.
        Instant::now() + time.since(self.now()) + Duration::from_micros(1)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (u64::try_from(time.tv_sec), u32::try_from(time.tv_nsec));
    // The kernel returns neither a negative time nor more than a second of nanoseconds.
    Duration::new(seconds.unwrap_or_default(), nanos.unwrap_or_default())
}
