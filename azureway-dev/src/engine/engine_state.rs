//! What an engine is doing.

use std::collections::BTreeSet;

use azureway_core::prelude::*;
use azureway_wire::engine::{CacheEvent, EngineNews, KvBlocks};

use super::{AcceptedRequest, BlockCache, EngineConfig, EventLog, OrderState, RequestTerms};

/// What an engine is doing.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The weights version that is loaded.
    pub weights: WeightsVersion,
    /// The orders that it took.
    pub orders: OrderState,
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
    pub rejecting: bool,
    /// The connections number before this number have gone silent.
    pub stalled: u64,
    /// The connections number so far.
    pub accepted_count: u64,
}

impl EngineState {
    /// Creates an engine that has just started.
    pub fn new(config: &EngineConfig) -> Self {
        Self {
            incarnation: Incarnation::new(1),
            weights: config.weights,
            orders: OrderState::new(config.fenced),
            cache: BlockCache::new(config.cache_blocks),
            log: EventLog::new(),
            slots: config.slots,
            running: 0,
            waiting: BTreeSet::new(),
            pending: TokenCount::ZERO,
            leaving: false,
            rejecting: false,
            stalled: 0,
            accepted_count: 0,
        }
    }

    /// Returns the news after event `after`, or the whole content of the cache.
    pub fn report(&self, after: u64, snapshot: bool) -> EngineNews {
        let stored: Vec<CacheOp> = self
            .cache
            .keys()
            .iter()
            .map(|k| CacheOp::Stored(*k))
            .collect();
        let (first, ops) = if snapshot {
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
            whole: snapshot,
            events: ops.iter().map(|op| CacheEvent::from(*op)).collect(),
        }
    }

    /// Starts anew with an empty cache, as after a crash.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.weights = self.orders.abort_load(self.weights);
        self.cache.clear();
        self.log.clear();
        self.running = 0;
        self.waiting.clear();
        self.pending = TokenCount::ZERO;
    }

    /// Begins to load weights. Nothing is served meanwhile, and the old blocks are gone.
    pub fn start_load(&mut self) {
        self.orders.start_load(self.weights);
        self.weights = WeightsVersion::ZERO;
        let evicted = self.cache.keys().iter().map(|k| CacheOp::Evicted(*k));
        let evicted = evicted.collect();
        self.cache.clear();
        self.log.extend(evicted);
    }

    /// Has the weights that were loaded.
    pub fn finish_load(&mut self, weights: WeightsVersion) {
        self.orders.finish_load();
        self.weights = weights;
    }

    /// Tells whether the engine is what a request expects.
    pub fn matches(&self, terms: &RequestTerms) -> bool {
        let same_incarnation = terms.incarnation.is_none_or(|i| i == self.incarnation);
        same_incarnation && terms.weights == self.weights
    }

    /// Takes a request in, which then waits for a slot.
    pub fn enqueue(&mut self, terms: &RequestTerms, chain: &BlockChain) -> AcceptedRequest {
        let cached = self.cache.cached_tokens(chain.blocks());
        let uncached = chain.tokens().saturating_sub(cached);
        self.accepted_count += 1;
        self.pending += uncached;
        let (incarnation, number, rank) = (self.incarnation, self.accepted_count, terms.rank);
        self.waiting.insert((rank, number));
        AcceptedRequest {
            incarnation,
            number,
            rank,
            cached,
            uncached,
        }
    }

    /// Tells whether a request gets the next slot and there is one.
    pub fn is_next(&self, accepted: &AcceptedRequest) -> bool {
        let next = self.waiting.first() == Some(&(accepted.rank, accepted.number));
        next && self.running < self.slots
    }

    /// Gives a request its slot if it is next. Returns whether it is.
    pub fn take_slot(&mut self, accepted: &AcceptedRequest) -> bool {
        let is_next = self.incarnation == accepted.incarnation && self.is_next(accepted);
        if is_next {
            self.waiting.pop_first();
            self.running += 1;
        }
        is_next
    }

    /// Stores the blocks of a request whose prompt is computed.
    pub fn finish_prefill(&mut self, accepted: &AcceptedRequest, chain: &BlockChain) {
        if self.incarnation == accepted.incarnation {
            self.pending = self.pending.saturating_sub(accepted.uncached);
            let ops = self.cache.store(chain.blocks());
            self.log.extend(ops);
        }
    }

    /// Lets a request go, whether it waits or runs, with the prompt tokens it still owes.
    pub fn remove(&mut self, accepted: &AcceptedRequest, pending: TokenCount) {
        // After a restart the counts are those of another incarnation.
        if self.incarnation != accepted.incarnation {
            return;
        }
        self.pending = self.pending.saturating_sub(pending);
        if !self.waiting.remove(&(accepted.rank, accepted.number)) {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Returns the blocks of a list that are held for the same weights.
    pub fn export(&self, requested: &KvBlocks) -> KvBlocks {
        let weights = self.weights.get();
        let held = requested
            .block_keys()
            .filter(|k| self.cache.keys().contains(k));
        let held = held.filter(|_| requested.weights == weights);
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
        let exported: Vec<BlockKey> = blocks.block_keys().collect();
        let prefix = chain
            .blocks()
            .iter()
            .take_while(|b| exported.contains(&b.key))
            .count();
        let ops = self.cache.store(&chain.blocks()[..prefix]);
        self.log.extend(ops);
    }
}
