//! A request within an engine.

use azureway_core::prelude::{BlockChain, Rank, WeightsVersion};

use super::Owner;

/// A request within an engine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Who waits for it.
    pub owner: Owner,
    /// The rank, which the engine honours as a priority.
    pub rank: Rank,
    /// The prompt.
    pub chain: BlockChain,
    /// The weights version that it asks for.
    pub weights: WeightsVersion,
    /// The tokens of the answer.
    pub output: u64,
    /// The tokens of the answer that were computed, here or at an earlier try.
    pub position: u64,
    /// The tokens of the answer that earlier tries computed.
    pub resumed: u64,
    /// The prompt tokens that are yet to be computed.
    pub pending: u64,
    /// The prompt tokens that were found in the cache.
    pub cached: u64,
    /// Whether it crashes the engine.
    pub poison: bool,
}

impl Task {
    /// Tells whether the whole prompt is computed.
    pub const fn is_prefilled(&self) -> bool {
        self.pending == 0
    }

    /// Tells whether the whole answer is computed.
    pub const fn is_done(&self) -> bool {
        self.position >= self.output
    }
}
