//! A decaying average of what one client account asks for or uses at this entry.

use crate::domain::Timestamp;

/// Measures a rate at this entry, in units per second.
///
/// What is past decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    rate: f64,
    /// The time constant of the decay, in seconds: what is this old counts for about a third (1/e).
    decay: f64,
    updated: Timestamp,
}

/// The time constant of a meter that sets none, in seconds.
const DEFAULT_DECAY: f64 = 5.0;

impl DemandMeter {
    /// Creates a meter that has measured nothing.
    pub const fn new() -> Self {
        Self {
            rate: 0.0,
            decay: DEFAULT_DECAY,
            updated: Timestamp::ZERO,
        }
    }

    /// Sets the time constant of the decay, in seconds.
    #[must_use]
    pub const fn with_decay(mut self, decay: f64) -> Self {
        self.decay = decay;
        self
    }

    /// Records `cost` units, which are negative if they are given back.
    pub fn add(&mut self, cost: f64, now: Timestamp) {
        self.rate = (self.rate(now) + cost / self.decay).max(0.0);
        self.updated = now;
    }

    /// Returns the rate at `now`, in units per second.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.rate * (-now.since(self.updated).as_secs_f64() / self.decay).exp()
    }
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::new()
    }
}
