//! Which backend servers are believed to hold which blocks.

use std::collections::{HashMap, VecDeque};

use super::{Block, BlockKey, CacheOp, CacheUpdate, Holder, Holders, TrackedServer};
use crate::domain::{Incarnation, ServerId, TokenCount};

/// The blocks that an index keeps at most.
const DEFAULT_BOUND: usize = 256 * 1024;

/// The blocks that one step of the sweep looks at. It bounds the time of each event.
const CHANCES: u32 = 16;

/// Which backend servers are believed to hold which blocks.
///
/// The index is a hint: an entry may be late or missing, and a request carries what was
/// expected, so that the server can refuse it. An entry holds only under the generation and
/// the incarnation of its server that it was made in; any other is unreachable.
///
/// The index is bounded. A sweep in the order of insertion drops blocks that were neither
/// looked up nor stored again since it last came by, within a bounded number of looks.
#[derive(Debug)]
pub struct CacheIndex {
    places: HashMap<ServerId, u32>,
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
            places: HashMap::new(),
            servers: Vec::new(),
            blocks: HashMap::new(),
            sweep: VecDeque::new(),
            bound: DEFAULT_BOUND,
        }
    }

    /// Sets the blocks that the index keeps at most.
    #[must_use]
    pub fn with_bound(mut self, bound: usize) -> Self {
        self.bound = bound.max(1);
        self
    }

    /// Returns the number of blocks that the index keeps.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Tells whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Takes in a run of events. Returns whether events were lost, so that the caller
    /// must ask the server for its whole content.
    pub fn update(&mut self, update: &CacheUpdate<'_>) -> bool {
        let place = self.place(update.server);
        let tracked = &mut self.servers[place as usize];
        if update.incarnation < tracked.cursor.incarnation() {
            return false;
        }
        let len = update.ops.len() as u64;
        if update.snapshot || update.incarnation > tracked.cursor.incarnation() {
            // A whole content is numbered by the next event to come after it.
            let next = update.first + if update.snapshot { 0 } else { len };
            let complete = update.snapshot || update.first == 0;
            tracked.reset(update.incarnation, next, complete);
            self.apply(place, update.ops);
            return !complete;
        }
        let Some(known) = tracked.cursor.advance(update.first, len) else {
            return true;
        };
        self.apply(
            place,
            &update.ops[usize::try_from(known).unwrap_or(usize::MAX)..],
        );
        false
    }

    /// Begins to follow a life of a server of which no news has come yet.
    pub fn track(&mut self, server: &ServerId, incarnation: Incarnation) {
        let place = self.place(server);
        let tracked = &mut self.servers[place as usize];
        if incarnation > tracked.cursor.incarnation() {
            tracked.reset(incarnation, 0, false);
        }
    }

    /// Notes that a server computes or has computed `blocks`. The server's own events are
    /// late, and until they come the next request would compute the blocks elsewhere again.
    pub fn assume_cached(&mut self, server: &ServerId, incarnation: Incarnation, blocks: &[Block]) {
        let Some(holder) = self.holder(server, incarnation) else {
            return;
        };
        for block in blocks {
            self.store(block.key, holder, false);
        }
    }

    /// Returns how many tokens at the head of `blocks` the server is believed to hold.
    pub fn cached_tokens(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
    ) -> TokenCount {
        self.count(server, incarnation, blocks, |held| &held.list)
    }

    /// Returns how many tokens at the head of `blocks` the server has told that it holds.
    pub fn confirmed_tokens(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
    ) -> TokenCount {
        self.count(server, incarnation, blocks, |held| &held.confirmed)
    }

    fn count(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        blocks: &[Block],
        list: impl Fn(&Holders) -> &[Holder],
    ) -> TokenCount {
        let Some(holder) = self.holder(server, incarnation) else {
            return TokenCount::ZERO;
        };
        let mut tokens = TokenCount::ZERO;
        for block in blocks {
            match self.blocks.get_mut(&block.key) {
                Some(held) if list(held).contains(&holder) => held.used = true,
                _ => break,
            }
            tokens += block.tokens;
        }
        tokens
    }

    /// Tells whether all that the server holds has been heard.
    pub fn is_complete(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        let tracked = self.places.get(server);
        let tracked = tracked.map(|place| self.servers[*place as usize]);
        tracked.is_some_and(|f| f.complete && f.is_current(incarnation))
    }

    /// Forgets everything that the server was believed to hold.
    pub fn invalidate(&mut self, server: &ServerId) {
        if let Some(&place) = self.places.get(server) {
            self.servers[place as usize].reset(Incarnation::ZERO, 0, false);
        }
    }

    fn holder(&self, server: &ServerId, incarnation: Incarnation) -> Option<Holder> {
        let &place = self.places.get(server)?;
        let tracked = self.servers[place as usize];
        tracked
            .is_current(incarnation)
            .then_some((place, tracked.generation))
    }

    fn place(&mut self, server: &ServerId) -> u32 {
        if let Some(&place) = self.places.get(server) {
            return place;
        }
        let place = u32::try_from(self.servers.len()).unwrap_or(u32::MAX);
        self.places.insert(server.clone(), place);
        self.servers.push(TrackedServer::new());
        place
    }

    fn apply(&mut self, place: u32, ops: &[CacheOp]) {
        let generation = self.servers[place as usize].generation;
        for op in ops {
            match *op {
                CacheOp::Stored(key) => self.store(key, (place, generation), true),
                CacheOp::Evicted(key) => {
                    if let Some(held) = self.blocks.get_mut(&key) {
                        held.remove(place);
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
        self.make_room();
        // A new block has its first turn in the sweep to be looked up.
        let mut held = Holders::default();
        held.add(holder, confirmed);
        held.used = false;
        self.blocks.insert(key, held);
        self.sweep.push_back(key);
    }

    fn make_room(&mut self) {
        let mut chances = CHANCES;
        while self.blocks.len() >= self.bound {
            let Some(key) = self.sweep.pop_front() else {
                return;
            };
            chances = chances.saturating_sub(1);
            let servers = &self.servers;
            let keep = self.blocks.get_mut(&key).is_some_and(|held| {
                held.list
                    .retain(|h| servers[h.0 as usize].generation == h.1);
                std::mem::take(&mut held.used) && chances > 0 && !held.list.is_empty()
            });
            if keep {
                self.sweep.push_back(key);
            } else {
                self.blocks.remove(&key);
            }
        }
    }
}
