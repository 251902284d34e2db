//! Estimates what a transfer of cached blocks between two places saves.

use std::time::Duration;

use super::Locality;
use crate::domain::{EngineCapacity, TokenCount, TokenRate};

/// A transfer of cached blocks to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The tokens that the transfer brings.
    pub tokens: TokenCount,
    /// The time that the transfer occupies the link.
    pub time: Duration,
}

/// The weight of the computing time that a transfer saves: computing blocks that are cached elsewhere
/// is charged besides the time it takes.
const SAVED_FACTOR: u32 = 2;
/// The factor by which a transfer to another availability zone takes longer.
const REGION_FACTOR: u32 = 2;
/// The factor by which a transfer to another region takes longer.
const REMOTE_FACTOR: u32 = 10;

impl Transfer {
    /// Creates the transfer of `tokens` over `distance`. Without a stated capacity it takes no time.
    pub fn new(tokens: TokenCount, capacity: Option<EngineCapacity>, distance: Locality) -> Self {
        let near = capacity.map_or(Duration::ZERO, |c| c.transfer_time(tokens));
        let factor = match distance {
            Locality::Zone => 1,
            Locality::Region => REGION_FACTOR,
            Locality::Remote => REMOTE_FACTOR,
        };
        let time = near.saturating_mul(factor);
        Self { tokens, time }
    }

    /// Returns what the transfer saves, as time, at a server that computes at `rate`. It is zero if
    /// computing the blocks costs less.
    pub fn gain(&self, rate: TokenRate) -> Duration {
        let saved = rate.time_for(self.tokens).saturating_mul(SAVED_FACTOR);
        saved.saturating_sub(self.time)
    }
}
