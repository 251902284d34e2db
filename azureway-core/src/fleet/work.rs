//! The unit in which load at a backend server is counted: requests and prompt tokens.

use crate::domain::TokenCount;

/// An amount of work at a backend server, in requests and prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The prompt tokens of these requests that are still to be computed.
    pub pending: TokenCount,
}

impl Work {
    /// Adds `other` to this amount.
    pub fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.pending += other.pending;
    }

    /// Returns the sum of this amount and `other`.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }
}
