//! Measures how many requests of a prefix run at once, to scale its replicas.

use std::time::Duration;

use crate::domain::Timestamp;

/// The time in which a past peak decays to half.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// The requests in flight for a prefix and the exponentially decaying peak of their number.
///
/// The peak decays slowly, so that a prefix does not lose its replicas between two bursts and
/// have to be computed on them again.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingPeak {
    in_flight: u32,
    peak: f64,
    updated: Timestamp,
}

impl DecayingPeak {
    /// Records a request that was sent at `now`.
    pub fn begin(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.peak = self.level(now);
        self.updated = now;
    }

    /// Records a request that ended at `now`.
    pub fn end(&mut self, now: Timestamp) {
        self.peak = self.level(now);
        self.updated = now;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight, or the decayed peak if that is higher.
    pub fn level(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        let decayed = self.peak * (-age / HALF_LIFE.as_secs_f64()).exp2();
        decayed.max(f64::from(self.in_flight))
    }
}
