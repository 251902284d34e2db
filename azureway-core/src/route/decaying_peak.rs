//! How much a prefix is asked for.

use std::time::Duration;

use crate::domain::Timestamp;

/// The time in which a past peak loses half of its height.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// How much a prefix is asked for: its requests in flight and their fading peak.
///
/// The peak fades slowly, so that a prefix does not lose replicas between two bursts and
/// pay for them again.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingPeak {
    flights: u32,
    peak: f64,
    at: Timestamp,
}

impl DecayingPeak {
    /// Notes a request that was sent at `now`.
    pub fn begin(&mut self, now: Timestamp) {
        self.flights += 1;
        self.peak = self.level(now);
        self.at = now;
    }

    /// Notes a request that ended at `now`.
    pub fn end(&mut self, now: Timestamp) {
        self.peak = self.level(now);
        self.at = now;
        self.flights = self.flights.saturating_sub(1);
    }

    /// Returns the requests in flight, or their faded peak if that is higher.
    pub fn level(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let faded = self.peak * (-age / HALF_LIFE.as_secs_f64()).exp2();
        faded.max(f64::from(self.flights))
    }
}
