//! The prefix cache of an engine.

use azureway_core::prelude::{Block, BlockKey, CacheOp, TokenCount};

/// The prefix cache of an engine: a bounded number of blocks, the least recently used of
/// which is evicted first.
#[derive(Clone, Debug)]
pub struct BlockCache {
    /// The keys, the least recently used first.
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

    /// Returns the keys that are held.
    pub fn keys(&self) -> &[BlockKey] {
        &self.keys
    }

    /// Returns the tokens at the head of `blocks` that are held.
    pub fn cached_tokens(&self, blocks: &[Block]) -> TokenCount {
        blocks
            .iter()
            .take_while(|b| self.keys.contains(&b.key))
            .map(|b| b.tokens)
            .sum()
    }

    /// Stores `blocks` and returns what changed.
    pub fn store(&mut self, blocks: &[Block]) -> Vec<CacheOp> {
        let mut ops = Vec::new();
        // The last block is touched first, so that a chain is evicted from its end.
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

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}
