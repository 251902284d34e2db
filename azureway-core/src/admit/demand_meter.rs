//! How much a client account asks for at this entry.

use crate::domain::{Timestamp, TokenCount};

/// How much a client account asks for at this entry, in tokens a second, refused requests
/// included. Older demand fades.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    at: Timestamp,
}

/// The time after which past demand counts for a third, in seconds.
const MEMORY: f64 = 5.0;

impl DemandMeter {
    /// Creates a meter without demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request of `cost` tokens.
    pub fn add(&mut self, cost: TokenCount, now: Timestamp) {
        self.rate = self.rate(now) + cost.get() as f64 / MEMORY;
        self.at = now;
    }

    /// Returns the demand in tokens a second.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / MEMORY).exp()
    }
}
