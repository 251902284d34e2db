//! Estimates how much of a prompt each backend server has cached.

use std::collections::{HashMap, VecDeque};

use super::{Block, BlockKey, CacheOp, CacheUpdate, Holder, Holders, TrackedServer};
use crate::domain::{Incarnation, ServerId, TokenCount};

/// The default maximum number of blocks in an index.
const DEFAULT_BOUND: usize = 256 * 1024;

/// The maximum number of blocks that the sweep visits per insertion. It bounds the time of each
/// event.
const MAX_VISITS: u32 = 16;

/// An index of the blocks that backend servers are believed to have cached.
///
/// The index is a hint: a record may be late or missing. A request therefore carries the expected
/// incarnation and weights, so that the server can reject it. A record is valid only for the
/// generation and incarnation of its server in which it was made.
///
/// The index is bounded. A sweep in insertion order (second chance) evicts blocks that were
/// neither looked up nor stored again since its last visit, with a bounded number of visits per
/// insertion.
#[derive(Debug)]
pub struct CacheIndex {
    positions: HashMap<ServerId, u32>,
    servers: Vec<TrackedServer>,
    blocks: HashMap<BlockKey, Holders>,
    sweep: VecDeque<BlockKey>,
    bound: usize,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::new()
    }
}

impl CacheIndex {
    /// Creates an empty index with the default bound.
    pub fn new() -> Self {
        Self {
            positions: HashMap::new(),
            servers: Vec::new(),
            blocks: HashMap::new(),
            sweep: VecDeque::new(),
            bound: DEFAULT_BOUND,
        }
    }

    /// Sets the maximum number of blocks in the index.
    #[must_use]
    pub fn with_bound(mut self, bound: usize) -> Self {
        self.bound = bound.max(1);
        self
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
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
        let position = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        self.positions.insert(server.clone(), position);
        self.servers.push(TrackedServer::new());
        position
    }

    fn apply(&mut self, position: u32, ops: &[CacheOp]) {
        let generation = self.servers[position as usize].generation;
        for op in ops {
            match *op {
                CacheOp::Stored(key) => self.store(key, (position, generation), true),
                CacheOp::Evicted(key) => {
                    if let Some(held) = self.blocks.get_mut(&key) {
                        held.remove(position);
                    }
                }
            }
        }
    }

    fn store(&mut self, key: BlockKey, holder: Holder, confirmed: bool) {
        if let Some(held) = self.blocks.get_mut(&key) {
            held.add(holder, confirmed);
            return;
        }
        self.evict();
        // A new block must be looked up before the sweep first visits it, or it is evicted.
        let mut held = Holders::default();
        held.add(holder, confirmed);
        held.referenced = false;
        self.blocks.insert(key, held);
        self.sweep.push_back(key);
    }

    fn evict(&mut self) {
        let mut visits = MAX_VISITS;
        while self.blocks.len() >= self.bound {
            let Some(key) = self.sweep.pop_front() else {
                return;
            };
            visits = visits.saturating_sub(1);
            let servers = &self.servers;
            let keep = self.blocks.get_mut(&key).is_some_and(|held| {
                held.all.retain(|h| servers[h.0 as usize].generation == h.1);
                std::mem::take(&mut held.referenced) && visits > 0 && !held.all.is_empty()
            });
            if keep {
                self.sweep.push_back(key);
            } else {
                self.blocks.remove(&key);
            }
        }
    }
}
