//! A request as a simulated engine queues and runs it.

use azureway_core::prelude::{PromptBlocks, Rank, WeightsVersion};

use super::Owner;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Task {
    /// The receiver of the answer.
    pub owner: Owner,
    /// The rank, which is the priority at the engine.
    pub rank: Rank,
    /// The blocks of the prompt.
    pub prompt: PromptBlocks,
    /// The requested weights version.
    pub weights: WeightsVersion,
    /// The length of the complete answer, in tokens.
    pub output: u64,
    /// The number of answer tokens that were generated, including those of earlier attempts.
    pub position: u64,
    /// The number of answer tokens that earlier attempts generated.
    pub resumed: u64,
    /// The number of tokens still to be prefilled.
    pub pending: u64,
    /// The number of prompt tokens that were found in the cache.
    pub cached: u64,
    /// Whether the request crashes the engine.
    pub poison: bool,
}

impl Task {
    /// Returns whether the prompt is prefilled.
    pub const fn is_prefilled(&self) -> bool {
        self.pending == 0
    }

    /// Returns whether the answer is complete.
    pub const fn is_done(&self) -> bool {
        self.position >= self.output
    }
}
