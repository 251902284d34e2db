//! The prefix cache of an engine.

use std::collections::{BTreeMap, HashMap};

use azureway_core::prelude::{Block, BlockKey, CacheOp, TokenCount};

/// The prefix cache of an engine: a bounded number of blocks, of which the least recently
/// used is evicted first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    bound: usize,
    clock: u64,
    touched: HashMap<BlockKey, u64>,
    order: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    /// Creates an empty cache of `bound` blocks.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            clock: 0,
            touched: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns the tokens at the head of `blocks` that are held.
    pub fn held(&self, blocks: &[Block]) -> TokenCount {
        let held = blocks
            .iter()
            .take_while(|b| self.touched.contains_key(&b.key));
        held.map(|b| b.tokens).sum()
    }

    /// Returns the keys that are held, the least recently used first.
    pub fn keys(&self) -> impl Iterator<Item = BlockKey> {
        self.order.values().copied()
    }

    /// Marks the held head of `blocks` as used.
    pub fn touch(&mut self, blocks: &[Block]) {
        let held = blocks
            .iter()
            .take_while(|b| self.touched.contains_key(&b.key));
        let keys: Vec<BlockKey> = held.map(|b| b.key).collect();
        // The last block is touched first, so that a chain is evicted from its end.
        for key in keys.into_iter().rev() {
            self.mark(key);
        }
    }

    /// Stores `blocks` and appends what changed.
    pub fn store(&mut self, blocks: &[Block], out: &mut Vec<CacheOp>) {
        for block in blocks.iter().rev() {
            if !self.mark(block.key) {
                out.push(CacheOp::Stored(block.key));
            }
        }
        while self.order.len() > self.bound {
            if let Some((_, key)) = self.order.pop_first() {
                self.touched.remove(&key);
                out.push(CacheOp::Evicted(key));
            }
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.touched.clear();
        self.order.clear();
    }

    /// Marks a block as used now. Returns whether it was held.
    fn mark(&mut self, key: BlockKey) -> bool {
        self.clock += 1;
        self.order.insert(self.clock, key);
        match self.touched.insert(key, self.clock) {
            Some(old) => self.order.remove(&old).is_some(),
            None => false,
        }
    }
}
