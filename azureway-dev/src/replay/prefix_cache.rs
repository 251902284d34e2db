//! The prefix cache of the replay's engine, which reports its changes as cache events.

use std::collections::{BTreeMap, HashMap};

use azureway_core::prelude::{Block, BlockKey, CacheOp, TokenCount};

/// The prefix cache of a simulated engine, with a fixed capacity in blocks and least-recently-used
/// eviction.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<BlockKey, u64>,
    by_age: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Returns the length of the cached prefix of `blocks`, in tokens.
    pub fn cached_tokens(&self, blocks: &[Block]) -> TokenCount {
        let cached = blocks
            .iter()
            .take_while(|b| self.last_used.contains_key(&b.key));
        cached.map(|b| b.tokens).sum()
    }

    /// Returns the keys of the cached blocks, the least recently used first.
    pub fn keys(&self) -> impl Iterator<Item = BlockKey> {
        self.by_age.values().copied()
    }

    /// Marks the cached prefix of `blocks` as used.
    pub fn mark_used(&mut self, blocks: &[Block]) {
        let cached = blocks
            .iter()
            .take_while(|b| self.last_used.contains_key(&b.key));
        let keys: Vec<BlockKey> = cached.map(|b| b.key).collect();
        // The last block gets the oldest mark, so that a chain is evicted from its end.
        for key in keys.into_iter().rev() {
            self.touch(key);
        }
    }

    /// Stores `blocks`, evicts blocks beyond the capacity and appends the changes to `out`.
    pub fn store(&mut self, blocks: &[Block], out: &mut Vec<CacheOp>) {
        for block in blocks.iter().rev() {
            if !self.touch(block.key) {
                out.push(CacheOp::Stored(block.key));
            }
        }
        while self.by_age.len() > self.capacity {
            if let Some((_, key)) = self.by_age.pop_first() {
                self.last_used.remove(&key);
                out.push(CacheOp::Evicted(key));
            }
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_age.clear();
    }

    /// Marks a block as used now. Returns whether it was cached.
    fn touch(&mut self, key: BlockKey) -> bool {
        self.clock += 1;
        self.by_age.insert(self.clock, key);
        match self.last_used.insert(key, self.clock) {
            Some(old) => self.by_age.remove(&old).is_some(),
            None => false,
        }
    }
}
