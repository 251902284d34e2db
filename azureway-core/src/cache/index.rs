//! Which backend servers are believed to hold which blocks.

use std::collections::HashMap;

use smallvec::SmallVec;

use super::{Block, BlockKey, CacheOp, CacheUpdate, EventCursor};
use crate::domain::{Incarnation, ServerId, TokenCount};

/// A server's place in the index: its slot and the incarnation that the entry holds for.
type Holder = (u32, Incarnation);

/// Which backend servers are believed to hold which blocks.
///
/// The index is a hint: an entry may be late or missing, and a request carries what was
/// expected, so that the server can refuse it. An entry whose incarnation is not the
/// server's current one is unreachable: [`CacheIndex::cached`] compares it on every look-up.
#[derive(Debug, Default)]
pub struct CacheIndex {
    slots: HashMap<ServerId, u32>,
    cursors: Vec<EventCursor>,
    holders: HashMap<BlockKey, SmallVec<[Holder; 2]>>,
}

impl CacheIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of blocks that some server is believed to hold.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Takes in a run of events. Returns whether events were lost, so that the caller
    /// must ask the server for its whole content.
    pub fn update(&mut self, update: &CacheUpdate<'_>) -> bool {
        let slot = self.slot(update.server);
        let cursor = &mut self.cursors[slot as usize];
        if update.incarnation < cursor.incarnation() {
            return false;
        }
        if update.whole || update.incarnation > cursor.incarnation() {
            return self.restart(slot, update);
        }
        let Some(known) = cursor.advance(update.first, update.ops.len() as u64) else {
            return true;
        };
        let fresh = &update.ops[usize::try_from(known).unwrap_or(usize::MAX)..];
        self.apply(slot, update.incarnation, fresh);
        false
    }

    /// Returns how many tokens at the head of `blocks` the server is believed to hold.
    pub fn cached(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
    ) -> TokenCount {
        let Some(&slot) = self.slots.get(server) else {
            return TokenCount::ZERO;
        };
        let held = |b: &&Block| self.holds(b.key, (slot, incarnation));
        blocks.iter().take_while(held).map(|b| b.tokens).sum()
    }

    /// Forgets everything that the server was believed to hold.
    pub fn forget(&mut self, server: &ServerId) {
        if let Some(&slot) = self.slots.get(server) {
            self.drop_slot(slot);
        }
    }

    fn holds(&self, key: BlockKey, holder: Holder) -> bool {
        self.holders
            .get(&key)
            .is_some_and(|held| held.contains(&holder))
    }

    fn slot(&mut self, server: &ServerId) -> u32 {
        if let Some(&slot) = self.slots.get(server) {
            return slot;
        }
        let slot = u32::try_from(self.cursors.len()).unwrap_or(u32::MAX);
        self.slots.insert(server.clone(), slot);
        self.cursors.push(EventCursor::new());
        slot
    }

    fn restart(&mut self, slot: u32, update: &CacheUpdate<'_>) -> bool {
        self.drop_slot(slot);
        let len = update.ops.len() as u64;
        let cursor = &mut self.cursors[slot as usize];
        let lost = !update.whole && update.first > 0;
        // A whole content is numbered by the next event to come after it.
        let next = if update.whole {
            update.first
        } else {
            update.first + len
        };
        cursor.reset(update.incarnation, next);
        self.apply(slot, update.incarnation, update.ops);
        lost
    }

    fn apply(&mut self, slot: u32, incarnation: Incarnation, ops: &[CacheOp]) {
        for op in ops {
            match *op {
                CacheOp::Stored(key) => self.store(key, (slot, incarnation)),
                CacheOp::Evicted(key) => self.evict(key, slot),
            }
        }
    }

    fn store(&mut self, key: BlockKey, holder: Holder) {
        let held = self.holders.entry(key).or_default();
        match held.iter_mut().find(|h| h.0 == holder.0) {
            Some(old) => *old = holder,
            None => held.push(holder),
        }
    }

    fn evict(&mut self, key: BlockKey, slot: u32) {
        let Some(held) = self.holders.get_mut(&key) else {
            return;
        };
        held.retain(|h| h.0 != slot);
        if held.is_empty() {
            self.holders.remove(&key);
        }
    }

    fn drop_slot(&mut self, slot: u32) {
        self.holders.retain(|_, held| {
            held.retain(|h| h.0 != slot);
            !held.is_empty()
        });
    }
}
