//! Blocks of KV cache that one engine fetches from another.

use azureway_core::prelude::{Block, BlockKey, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Blocks of KV cache, by their keys. The keys are salted with client account, model and
/// weights version, so a block can only be found by whoever may use it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct KvBlocks {
    /// The weights version that the blocks were computed with.
    pub weights: u64,
    /// The keys in hexadecimal digits.
    pub keys: Vec<String>,
}

impl KvBlocks {
    /// Creates a list of blocks.
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

    /// Returns the keys. One that is no number stands for no block and is left out.
    pub fn block_keys(&self) -> impl Iterator<Item = BlockKey> {
        let keys = self
            .keys
            .iter()
            .filter_map(|k| u128::from_str_radix(k, 16).ok());
        keys.map(BlockKey::new)
    }
}
