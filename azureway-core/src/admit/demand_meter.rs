//! A decaying average of one client account's demand at this entry.

use crate::domain::{Timestamp, TokenCount};

/// Measures the demand of a client account at this entry, in tokens per second.
///
/// Refused requests count too. Past demand decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    updated: Timestamp,
}

/// The time constant of the decay, in seconds: demand this old counts for about a third (1/e).
const DECAY_TIME: f64 = 5.0;

impl DemandMeter {
    /// Creates a meter that has measured no demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request of `cost` tokens.
    pub fn add(&mut self, cost: TokenCount, now: Timestamp) {
        self.rate = self.rate(now) + cost.get() as f64 / DECAY_TIME;
        self.updated = now;
    }

    /// Returns the demand at `now`, in tokens per second.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.rate * (-now.since(self.updated).as_secs_f64() / DECAY_TIME).exp()
    }
}
