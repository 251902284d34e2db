//! What an engine tells of itself.

use azureway_core::prelude::{CacheOp, CacheUpdate, Incarnation, LoadReport, ServerId};

/// What an engine tells of itself: its load and a run of cache events.
#[derive(Clone, Debug)]
pub struct EngineUpdate {
    /// The load.
    pub load: LoadReport,
    /// The number of the first cache event.
    pub first: u64,
    /// Whether the events are the whole content of the cache.
    pub snapshot: bool,
    /// The cache events.
    pub ops: Vec<CacheOp>,
}

impl EngineUpdate {
    /// Returns the cache events as the core takes them.
    pub fn cache_update(&self) -> CacheUpdate<'_> {
        CacheUpdate {
            server: self.server(),
            incarnation: self.incarnation(),
            first: self.first,
            snapshot: self.snapshot,
            ops: &self.ops,
        }
    }

    /// Returns the engine.
    pub const fn server(&self) -> &ServerId {
        &self.load.server
    }

    /// Returns the engine's incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.load.incarnation
    }
}
