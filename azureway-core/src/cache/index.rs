//! Estimates how much of a prompt each backend server has cached.

use std::collections::{HashMap, VecDeque};

use super::{Block, BlockKey, CacheOp, CacheUpdate, Holder, Holders, TrackedServer};
use crate::domain::{Incarnation, ServerId, TokenCount};

/// The memory of a block with up to two holders, in bytes: two slots of the table, which is half empty after
/// it has grown, and two places in the sweep.
const BLOCK_COST: usize = 200;

/// The maximum number of blocks that the sweep visits per insertion. It bounds the time of each
/// event.
const MAX_VISITS: u32 = 16;

/// An index of the blocks that backend servers are believed to have cached.
///
/// The index is a hint: a record may be late or missing. A request therefore carries the expected
/// incarnation and weights, so that the server can reject it. A record is valid only for the
/// generation and incarnation of its server in which it was made.
///
/// The memory of the index is bounded, whatever the servers report. A sweep in insertion order (second
/// chance) evicts blocks that were neither looked up nor stored again since its last visit, with a bounded
/// number of visits per insertion.
#[derive(Debug)]
pub struct CacheIndex {
    positions: HashMap<ServerId, u32>,
    servers: Vec<TrackedServer>,
    /// The positions of servers that were removed, which others take over with their next generation.
    free: Vec<u32>,
    blocks: HashMap<BlockKey, Holders>,
    sweep: VecDeque<BlockKey>,
    /// The memory of the lists of holders that have outgrown their records, in bytes.
    spilled: usize,
    /// The maximum memory, in bytes.
    bound: usize,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::new()
    }
}

impl CacheIndex {
    /// The default maximum memory, in bytes: that of some 250,000 blocks.
    pub const DEFAULT_MEMORY: usize = 50 * 1024 * 1024;

    /// Creates an empty index with the default bound.
    pub fn new() -> Self {
        Self {
            positions: HashMap::new(),
            servers: Vec::new(),
            free: Vec::new(),
            blocks: HashMap::new(),
            sweep: VecDeque::new(),
            spilled: 0,
            bound: Self::DEFAULT_MEMORY,
        }
    }

    /// Sets the maximum number of blocks in the index. Blocks with more than two holders count for more.
    #[must_use]
    pub fn with_bound(self, blocks: usize) -> Self {
        self.with_memory(blocks.saturating_mul(BLOCK_COST))
    }

    /// Sets the maximum memory of the index, in bytes.
    #[must_use]
    pub fn with_memory(mut self, bytes: usize) -> Self {
        self.bound = bytes.max(BLOCK_COST);
        self
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the memory that the index takes at most, in bytes.
    pub fn memory(&self) -> usize {
        self.blocks.len() * BLOCK_COST + self.spilled
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Applies a run of events. Returns whether events were lost, so that the caller must request
    /// a snapshot of the server's cache.
    pub fn update(&mut self, update: &CacheUpdate<'_>) -> bool {
        let position = self.position_of(update.server);
        let tracked = &mut self.servers[position as usize];
        if update.incarnation < tracked.cursor.incarnation() {
            return false;
        }
        let len = update.ops.len() as u64;
        if update.snapshot || update.incarnation > tracked.cursor.incarnation() {
            // A snapshot carries the number of the next event after it.
            let next = update.first + if update.snapshot { 0 } else { len };
            let complete = update.snapshot || update.first == 0;
            tracked.reset(update.incarnation, next, complete);
            self.apply(position, update.ops);
            return !complete;
        }
        let Some(known) = tracked.cursor.advance(update.first, len) else {
            return true;
        };
        self.apply(
            position,
            &update.ops[usize::try_from(known).unwrap_or(usize::MAX)..],
        );
        false
    }

    /// Starts to track an incarnation of a server that has sent no events yet.
    pub fn track(&mut self, server: &ServerId, incarnation: Incarnation) {
        let position = self.position_of(server);
        let tracked = &mut self.servers[position as usize];
        if incarnation > tracked.cursor.incarnation() {
            tracked.reset(incarnation, 0, false);
        }
    }

    /// Assumes that a server has `blocks` cached because it was sent a request with them. The
    /// server's own events lag, and until they arrive the next request with the same blocks would
    /// be sent elsewhere and compute them again.
    pub fn assume_cached(&mut self, server: &ServerId, incarnation: Incarnation, blocks: &[Block]) {
        let Some(holder) = self.holder(server, incarnation) else {
            return;
        };
        for block in blocks {
            self.store(block.key, holder, false);
        }
    }

    /// Returns the number of tokens at the head of `blocks` that the server is believed to have
    /// cached.
    pub fn cached_tokens(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
    ) -> TokenCount {
        self.count_tokens(server, incarnation, blocks, |held| &held.all)
    }

    /// Returns the number of tokens at the head of `blocks` that the server's own events confirm
    /// as cached.
    pub fn confirmed_tokens(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
    ) -> TokenCount {
        self.count_tokens(server, incarnation, blocks, |held| &held.confirmed)
    }

    fn count_tokens(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
        holders: impl Fn(&Holders) -> &[Holder],
    ) -> TokenCount {
        let Some(holder) = self.holder(server, incarnation) else {
            return TokenCount::ZERO;
        };
        let mut tokens = TokenCount::ZERO;
        for block in blocks {
            match self.blocks.get_mut(&block.key) {
                Some(held) if holders(held).contains(&holder) => held.referenced = true,
                _ => break,
            }
            tokens += block.tokens;
        }
        tokens
    }

    /// Returns whether the index has received the whole content of the server's cache.
    pub fn is_complete(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        let tracked = self.positions.get(server);
        let tracked = tracked.map(|position| self.servers[*position as usize]);
        tracked.is_some_and(|t| t.complete && t.is_current(incarnation))
    }

    /// Invalidates all records of a server.
    pub fn invalidate(&mut self, server: &ServerId) {
        if let Some(&position) = self.positions.get(server) {
            self.servers[position as usize].reset(Incarnation::ZERO, 0, false);
        }
    }

    /// Removes a server with all its records.
    pub fn remove(&mut self, server: &ServerId) {
        self.invalidate(server);
        self.free.extend(self.positions.remove(server));
    }

    fn holder(&self, server: &ServerId, incarnation: Incarnation) -> Option<Holder> {
        let &position = self.positions.get(server)?;
        let tracked = self.servers[position as usize];
        tracked
            .is_current(incarnation)
            .then_some((position, tracked.generation))
    }

    fn position_of(&mut self, server: &ServerId) -> u32 {
        if let Some(&position) = self.positions.get(server) {
            return position;
        }
        let position = self.free.pop().unwrap_or_else(|| {
            self.servers.push(TrackedServer::new());
            u32::try_from(self.servers.len() - 1).unwrap_or(u32::MAX)
        });
        self.positions.insert(server.clone(), position);
        position
    }

    fn apply(&mut self, position: u32, ops: &[CacheOp]) {
        let generation = self.servers[position as usize].generation;
        for op in ops {
            match *op {
                CacheOp::Stored(key) => self.store(key, (position, generation), true),
                CacheOp::Evicted(key) => {
                    self.change(key, |held| held.remove(position));
                }
            }
        }
    }

    fn store(&mut self, key: BlockKey, holder: Holder, confirmed: bool) {
        if self.change(key, |held| held.add(holder, confirmed)) {
            self.evict(0);
            return;
        }
        self.evict(BLOCK_COST);
        // A new block must be looked up before the sweep first visits it, or it is evicted.
        let mut held = Holders::default();
        held.add(holder, confirmed);
        held.referenced = false;
        self.blocks.insert(key, held);
        self.sweep.push_back(key);
    }

    /// Changes the holders of a block. Returns whether the index has the block.
    fn change(&mut self, key: BlockKey, change: impl FnOnce(&mut Holders)) -> bool {
        let Some(held) = self.blocks.get_mut(&key) else {
            return false;
        };
        self.spilled -= held.heap_size();
        change(held);
        self.spilled += held.heap_size();
        true
    }

    /// Evicts blocks until the index has room for `more` bytes.
    fn evict(&mut self, more: usize) {
        let mut visits = MAX_VISITS;
        while self.memory() + more > self.bound {
            let Some(key) = self.sweep.pop_front() else {
                return;
            };
            visits = visits.saturating_sub(1);
            let servers = &self.servers;
            let keep = self.blocks.get_mut(&key).is_some_and(|held| {
                self.spilled -= held.heap_size();
                held.retain(|h| servers[h.0 as usize].generation == h.1);
                self.spilled += held.heap_size();
                std::mem::take(&mut held.referenced) && visits > 0 && !held.all.is_empty()
            });
            if keep {
                self.sweep.push_back(key);
            } else if let Some(held) = self.blocks.remove(&key) {
                self.spilled -= held.heap_size();
            }
        }
    }
}
