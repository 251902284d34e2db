//! The clock of the daemon.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use azureway_core::prelude::Timestamp;

/// The clock of the daemon: the one place where time enters the decisions.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the time of day, in seconds of the Unix epoch. Only the age of claims uses it.
    pub fn unix() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |t| t.as_secs())
    }

    /// Returns the system's own form of a time, just after it.
    pub fn instant(&self, time: Timestamp) -> Instant {
        // A deadline is past only after its microsecond, so the wake-up lies one later.
        self.origin + Duration::from_micros(time.as_micros().saturating_add(1))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
