//! The limit of a client account over all entry instances together.

use super::{LimitUnit, Request, TokenCount};

/// A rate and a burst that a client account may use over all entry instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// What the rate and the burst count.
    pub unit: LimitUnit,
    /// The units that the account may use per second.
    pub rate: u64,
    /// The units that the account may use at once beyond the rate.
    pub burst: u64,
    /// The tokens that a request which states no usage counts as. If there are none, it counts as the
    /// most that it may cost.
    pub uncounted: Option<TokenCount>,
}

impl AccountLimit {
    /// Creates a limit in tokens without a burst, in which a request that states no usage counts as the
    /// most that it may cost.
    pub const fn new(rate: u64) -> Self {
        Self {
            unit: LimitUnit::Tokens,
            rate,
            burst: 0,
            uncounted: None,
        }
    }

    /// Sets the units that the account may use at once beyond the rate.
    #[must_use]
    pub const fn with_burst(mut self, burst: u64) -> Self {
        self.burst = burst;
        self
    }

    /// Sets the unit.
    #[must_use]
    pub const fn with_unit(mut self, unit: LimitUnit) -> Self {
        self.unit = unit;
        self
    }

    /// Sets the tokens that a request which states no usage counts as.
    #[must_use]
    pub const fn with_uncounted(mut self, uncounted: TokenCount) -> Self {
        self.uncounted = Some(uncounted);
        self
    }

    /// Returns the units that a request uses.
    pub fn cost(&self, request: &Request) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens => {
                let stated = request.usage.or(self.uncounted);
                stated.unwrap_or_else(|| request.cost()).get()
            }
        }
    }
}
