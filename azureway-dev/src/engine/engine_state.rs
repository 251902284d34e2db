//! What an engine is doing.

use std::collections::BTreeSet;

use azureway_core::prelude::*;
use azureway_wire::engine::{CacheEvent, EngineNews, KvBlocks};

use super::{BlockCache, EngineConfig, EventLog, OrderBook, Terms, Ticket};

/// What an engine is doing.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The weights version that is loaded.
    pub weights: WeightsVersion,
    /// The orders that it took.
    pub orders: OrderBook,
    /// The cache.
    pub cache: BlockCache,
    /// The events of the cache.
    pub log: EventLog,
    /// The requests that run at once.
    pub slots: u32,
    /// The requests that run.
    pub running: u32,
    /// The requests that wait for a slot, the next one first.
    pub waiting: BTreeSet<(Rank, u64)>,
    /// The prompt tokens that are yet to be computed.
    pub pending: TokenCount,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Whether new requests fail.
    pub closed: bool,
    /// The connections opened before this number have gone silent.
    pub silent: u64,
    /// The connections opened so far.
    pub opened: u64,
}

impl EngineState {
    /// Creates an engine that has just started.
    pub fn new(config: &EngineConfig) -> Self {
        Self {
            incarnation: Incarnation::new(1),
            weights: config.weights,
            orders: OrderBook::new(config.fenced),
            cache: BlockCache::new(config.blocks),
            log: EventLog::new(),
            slots: config.slots,
            running: 0,
            waiting: BTreeSet::new(),
            pending: TokenCount::ZERO,
            leaving: false,
            closed: false,
            silent: 0,
            opened: 0,
        }
    }

    /// Returns the news after event `after`, or the whole content of the cache.
    pub fn news(&self, after: u64, whole: bool) -> EngineNews {
        let stored: Vec<CacheOp> = self
            .cache
            .keys()
            .iter()
            .map(|k| CacheOp::Stored(*k))
            .collect();
        let (first, ops) = if whole {
            (self.log.next(), &stored[..])
        } else {
            self.log.since(after)
        };
        EngineNews {
            incarnation: self.incarnation.get(),
            weights: self.weights.get(),
            running: self.running,
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            pending: self.pending.get(),
            leaving: self.leaving,
            first,
            whole,
            events: ops.iter().map(|op| CacheEvent::from(*op)).collect(),
        }
    }

    /// Starts anew with an empty cache, as after a crash.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.weights = self.orders.had(self.weights);
        self.cache.clear();
        self.log.clear();
        self.running = 0;
        self.waiting.clear();
        self.pending = TokenCount::ZERO;
    }

    /// Begins to load weights. Nothing is served meanwhile, and the old blocks are gone.
    pub fn unload(&mut self) {
        self.orders.begin(self.weights);
        self.weights = WeightsVersion::ZERO;
        let evicted = self.cache.keys().iter().map(|k| CacheOp::Evicted(*k));
        let evicted = evicted.collect();
        self.cache.clear();
        self.log.extend(evicted);
    }

    /// Has the weights that were loaded.
    pub fn load(&mut self, weights: WeightsVersion) {
        self.orders.end();
        self.weights = weights;
    }

    /// Tells whether the engine is what a request expects.
    pub fn fits(&self, terms: &Terms) -> bool {
        let life = terms.incarnation.is_none_or(|i| i == self.incarnation);
        life && terms.weights == self.weights
    }

    /// Takes a request in, which then waits for a slot.
    pub fn enter(&mut self, terms: &Terms, chain: &BlockChain) -> Ticket {
        let cached = self.cache.held(chain.blocks());
        let uncached = chain.tokens().saturating_sub(cached);
        self.opened += 1;
        self.pending += uncached;
        let (life, opened, rank) = (self.incarnation, self.opened, terms.rank);
        self.waiting.insert((rank, opened));
        Ticket {
            life,
            opened,
            rank,
            cached,
            uncached,
        }
    }

    /// Tells whether a request gets the next slot and there is one.
    pub fn is_next(&self, ticket: &Ticket) -> bool {
        let next = self.waiting.first() == Some(&(ticket.rank, ticket.opened));
        next && self.running < self.slots
    }

    /// Gives a request its slot if it is next. Returns whether it is.
    pub fn take_slot(&mut self, ticket: &Ticket) -> bool {
        let is_next = self.incarnation == ticket.life && self.is_next(ticket);
        if is_next {
            self.waiting.pop_first();
            self.running += 1;
        }
        is_next
    }

    /// Stores the blocks of a request whose prompt is computed.
    pub fn store(&mut self, ticket: &Ticket, chain: &BlockChain) {
        if self.incarnation == ticket.life {
            self.pending = self.pending.saturating_sub(ticket.uncached);
            let ops = self.cache.store(chain.blocks());
            self.log.extend(ops);
        }
    }

    /// Lets a request go, whether it waits or runs, with the prompt tokens it still owes.
    pub fn leave(&mut self, ticket: &Ticket, owed: TokenCount) {
        // After a restart the counts are those of another life.
        if self.incarnation != ticket.life {
            return;
        }
        self.pending = self.pending.saturating_sub(owed);
        if !self.waiting.remove(&(ticket.rank, ticket.opened)) {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Returns the blocks of a list that are held for the same weights.
    pub fn export(&self, wanted: &KvBlocks) -> KvBlocks {
        let weights = self.weights.get();
        let held = wanted
            .block_keys()
            .filter(|k| self.cache.keys().contains(k));
        let held = held.filter(|_| wanted.weights == weights);
        KvBlocks {
            weights,
            keys: held.map(|k| format!("{:x}", k.get())).collect(),
        }
    }

    /// Stores those blocks at the head of a prompt that another engine had.
    pub fn import(&mut self, blocks: &KvBlocks, chain: &BlockChain) {
        if blocks.weights != self.weights.get() {
            return;
        }
        let had: Vec<BlockKey> = blocks.block_keys().collect();
        let head = chain
            .blocks()
            .iter()
            .take_while(|b| had.contains(&b.key))
            .count();
        let ops = self.cache.store(&chain.blocks()[..head]);
        self.log.extend(ops);
    }
}
