//! An amount of work at a backend server.

use crate::domain::TokenCount;

/// An amount of work at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The requests.
    pub in_flight: u32,
    /// The prompt tokens that are yet to be computed for them.
    pub pending: TokenCount,
}

impl Work {
    /// Adds other work to this.
    pub fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.pending += other.pending;
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }
}
