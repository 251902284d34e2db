//! What an engine is doing.

use azureway_core::prelude::{CacheOp, Incarnation, TokenCount, WeightsVersion};
use azureway_wire::engine::{CacheEvent, EngineNews};

use super::{BlockCache, EngineConfig, EventLog};

/// What an engine is doing.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The weights version that is loaded.
    pub weights: WeightsVersion,
    /// The cache.
    pub cache: BlockCache,
    /// The events of the cache.
    pub log: EventLog,
    /// The requests that run.
    pub running: u32,
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
            cache: BlockCache::new(config.blocks),
            log: EventLog::new(),
            running: 0,
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
            queued: 0,
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
        self.cache.clear();
        self.log.clear();
        self.running = 0;
        self.pending = TokenCount::ZERO;
    }
}
