//! The state that the threads of the simulated engine share.

use std::collections::BTreeSet;

use azureway_core::prelude::*;
use azureway_wire::engine::{CacheEvent, FeedBody, KvBlocks};

use super::{AcceptedRequest, BlockCache, EngineConfig, EventLog, OrderState, RequestMetadata};

/// The state of a simulated engine: its queue, cache and weights.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The incarnation, which grows with each restart.
    pub incarnation: Incarnation,
    /// The weights version that is loaded, or zero during a load.
    pub weights: WeightsVersion,
    /// The orders that were accepted.
    pub orders: OrderState,
    /// The prefix cache.
    pub cache: BlockCache,
    /// The numbered events of the cache.
    pub log: EventLog,
    /// The number of requests that can run concurrently.
    pub slots: u32,
    /// The number of running requests.
    pub running: u32,
    /// The ranks and numbers of the requests that wait for a slot, the next one first.
    pub waiting: BTreeSet<(Rank, u64)>,
    /// The number of prompt tokens that are still to be computed.
    pub pending: TokenCount,
    /// Whether the engine reports that it is shutting down.
    pub leaving: bool,
    /// Whether the engine says in its answers, and not yet in its reports, that it is shutting down.
    pub announcing: bool,
    /// Whether new chat requests are refused.
    pub rejecting: bool,
    /// The value of the pause header with which new chat requests are refused, if they are.
    pub pause: Option<Box<str>>,
    /// The number of chat requests that arrived so far, refused ones included.
    pub arrival_count: u64,
    /// The number of the newest request whose connection is stalled, as are all older ones.
    pub stalled: u64,
    /// The number of requests accepted so far.
    pub accepted_count: u64,
}

impl EngineState {
    /// Creates the state of an engine that has just started.
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
            announcing: false,
            rejecting: false,
            pause: None,
            arrival_count: 0,
            stalled: 0,
            accepted_count: 0,
        }
    }

    /// Returns the load with the cache events from number `after` on, or with a snapshot of the
    /// cache.
    pub fn report(&self, after: u64, snapshot: bool) -> FeedBody {
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
        FeedBody {
            incarnation: self.incarnation.get(),
            weights: self.weights.get(),
            running: self.running,
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            pending: self.pending.get(),
            leaving: self.leaving,
            pace: None,
            first,
            whole: snapshot,
            events: ops.iter().map(|op| CacheEvent::from(*op)).collect(),
        }
    }

    /// Starts the next incarnation with an empty cache and queue, as after a crash.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.pause = None;
        self.weights = self.orders.abort_load(self.weights);
        self.cache.clear();
        self.log.clear();
        self.running = 0;
        self.waiting.clear();
        self.pending = TokenCount::ZERO;
    }

    /// Starts to load weights. No request matches meanwhile, and the cache is emptied.
    pub fn start_load(&mut self) {
        self.orders.start_load(self.weights);
        self.weights = WeightsVersion::ZERO;
        let evicted = self.cache.keys().iter().map(|k| CacheOp::Evicted(*k));
        let evicted = evicted.collect();
        self.cache.clear();
        self.log.extend(evicted);
    }

    /// Finishes the load of `weights`.
    pub fn finish_load(&mut self, weights: WeightsVersion) {
        self.orders.finish_load();
        self.weights = weights;
    }

    /// Returns whether the engine has the incarnation and weights that a request requires.
    pub fn matches(&self, metadata: &RequestMetadata) -> bool {
        let same_incarnation = metadata.incarnation.is_none_or(|i| i == self.incarnation);
        same_incarnation && metadata.weights == self.weights
    }

    /// Accepts a request and queues it for a slot.
    pub fn enqueue(
        &mut self,
        metadata: &RequestMetadata,
        prompt: &PromptBlocks,
    ) -> AcceptedRequest {
        let cached = self.cache.cached_tokens(prompt.blocks());
        let uncached = prompt.tokens().saturating_sub(cached);
        self.accepted_count += 1;
        self.pending += uncached;
        let (incarnation, number, rank) = (self.incarnation, self.accepted_count, metadata.rank);
        self.waiting.insert((rank, number));
        AcceptedRequest {
            incarnation,
            number,
            rank,
            cached,
            uncached,
        }
    }

    /// Returns the incarnation that leaves, if the engine says so.
    pub fn leaving_incarnation(&self) -> Option<Incarnation> {
        (self.leaving || self.announcing).then_some(self.incarnation)
    }

    /// Returns whether a request is first in the queue and a slot is free.
    pub fn is_next(&self, accepted: &AcceptedRequest) -> bool {
        let next = self.waiting.first() == Some(&(accepted.rank, accepted.number));
        next && self.running < self.slots
    }

    /// Gives a request a slot if it is next. Returns whether it is.
    pub fn take_slot(&mut self, accepted: &AcceptedRequest) -> bool {
        let is_next = self.incarnation == accepted.incarnation && self.is_next(accepted);
        if is_next {
            self.waiting.pop_first();
            self.running += 1;
        }
        is_next
    }

    /// Stores the blocks of a request whose prompt has been computed.
    pub fn finish_prefill(&mut self, accepted: &AcceptedRequest, prompt: &PromptBlocks) {
        if self.incarnation == accepted.incarnation {
            self.pending = self.pending.saturating_sub(accepted.uncached);
            let ops = self.cache.store(prompt.blocks());
            self.log.extend(ops);
        }
    }

    /// Removes a queued or running request that has `pending` prompt tokens left to compute.
    pub fn remove(&mut self, accepted: &AcceptedRequest, pending: TokenCount) {
        // After a restart, the counts belong to another incarnation.
        if self.incarnation != accepted.incarnation {
            return;
        }
        self.pending = self.pending.saturating_sub(pending);
        if !self.waiting.remove(&(accepted.rank, accepted.number)) {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Returns the requested blocks that are cached, or none if the weights differ.
    pub fn export(&self, requested: &KvBlocks) -> KvBlocks {
        let weights = self.weights.get();
        let cached = requested
            .block_keys()
            .filter(|k| self.cache.keys().contains(k));
        let cached = cached.filter(|_| requested.weights == weights);
        KvBlocks {
            weights,
            keys: cached.map(|k| format!("{:x}", k.get())).collect(),
        }
    }

    /// Stores the longest prefix of a prompt's blocks that another engine exported.
    pub fn import(&mut self, blocks: &KvBlocks, prompt: &PromptBlocks) {
        if blocks.weights != self.weights.get() {
            return;
        }
        let exported: Vec<BlockKey> = blocks.block_keys().collect();
        let prefix_length = prompt
            .blocks()
            .iter()
            .take_while(|b| exported.contains(&b.key))
            .count();
        let ops = self.cache.store(&prompt.blocks()[..prefix_length]);
        self.log.extend(ops);
    }
}
