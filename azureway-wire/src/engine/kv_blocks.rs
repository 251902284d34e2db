//! Blocks of the KV cache that one engine fetches from another.

use azureway_core::prelude::{Block, BlockKey, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Blocks of the KV cache, by key. The keys are salted with client account, model and weights
/// version, so that only a request that may use a block can find it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct KvBlocks {
    /// The weights version that the blocks were computed with.
    pub weights: u64,
    /// The keys of the blocks, as hexadecimal numbers.
    pub keys: Vec<String>,
}

impl KvBlocks {
    /// Creates the list of `blocks` that were computed with `weights`.
    pub fn new(weights: WeightsVersion, blocks: &[Block]) -> Self {
        let keys = blocks
            .iter()
            .map(|b| format!("{:x}", b.key.get()))
            .collect();
        Self {
            weights: weights.get(),
            keys,
        }
    }

    /// Returns the keys of the blocks. A key that is not a valid number is skipped.
    pub fn block_keys(&self) -> impl Iterator<Item = BlockKey> {
        let keys = self
            .keys
            .iter()
            .filter_map(|k| u128::from_str_radix(k, 16).ok());
        keys.map(BlockKey::new)
    }
}
