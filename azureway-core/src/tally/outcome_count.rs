//! The counter for one combination of rank, kind and outcome.

use crate::domain::Worth;

/// A number of requests and the sum of their worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCount {
    /// The number of requests.
    pub requests: u64,
    /// The sum of their worth.
    pub worth: u64,
}

impl OutcomeCount {
    /// Adds a request.
    pub fn add(&mut self, worth: Worth) {
        self.requests += 1;
        self.worth = self.worth.saturating_add(worth.get());
    }
}
