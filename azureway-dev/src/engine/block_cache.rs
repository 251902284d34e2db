//! The prefix cache of the engine that serves HTTP.

use azureway_core::prelude::{Block, BlockKey, CacheOp, TokenCount};

/// The prefix cache of an engine: a bounded number of blocks with LRU eviction.
#[derive(Clone, Debug)]
pub struct BlockCache {
    /// The keys of the cached blocks, least recently used first.
    keys: Vec<BlockKey>,
    capacity: usize,
}

impl BlockCache {
    /// Creates an empty cache of `capacity` blocks.
    pub const fn new(capacity: usize) -> Self {
        Self {
            keys: Vec::new(),
            capacity,
        }
    }

    /// Returns the keys of the cached blocks, least recently used first.
    pub fn keys(&self) -> &[BlockKey] {
        &self.keys
    }

    /// Returns the number of tokens in the longest cached prefix of `blocks`.
    pub fn cached_tokens(&self, blocks: &[Block]) -> TokenCount {
        blocks
            .iter()
            .take_while(|b| self.keys.contains(&b.key))
            .map(|b| b.tokens)
            .sum()
    }

    /// Stores `blocks` and returns the blocks that were added and evicted.
    pub fn store(&mut self, blocks: &[Block]) -> Vec<CacheOp> {
        let mut ops = Vec::new();
        // Blocks are marked as used from the last to the first, so that a chain is evicted from its
        // end.
        for block in blocks.iter().rev() {
            match self.keys.iter().position(|k| *k == block.key) {
                Some(index) => drop(self.keys.remove(index)),
                None => ops.push(CacheOp::Stored(block.key)),
            }
            self.keys.push(block.key);
        }
        let surplus = self.keys.len().saturating_sub(self.capacity);
        ops.extend(self.keys.drain(..surplus).map(CacheOp::Evicted));
        ops
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}
