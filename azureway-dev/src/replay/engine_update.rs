//! A report of an engine of the replay to the entry: its load and cache events.

use azureway_core::prelude::{CacheOp, CacheUpdate, Incarnation, LoadReport, ServerId};

/// A load report and consecutive cache events from an engine.
#[derive(Clone, Debug)]
pub struct EngineUpdate {
    /// The load report.
    pub load: LoadReport,
    /// The sequence number of the first cache event.
    pub first: u64,
    /// Whether the events describe the complete content of the cache.
    pub snapshot: bool,
    /// The cache events in order.
    pub ops: Vec<CacheOp>,
}

impl EngineUpdate {
    /// Returns the cache events in the core's form.
    pub fn cache_update(&self) -> CacheUpdate<'_> {
        CacheUpdate {
            server: self.server(),
            incarnation: self.incarnation(),
            first: self.first,
            snapshot: self.snapshot,
            ops: &self.ops,
        }
    }

    /// Returns the name of the engine.
    pub const fn server(&self) -> &ServerId {
        &self.load.server
    }

    /// Returns the incarnation of the engine.
    pub const fn incarnation(&self) -> Incarnation {
        self.load.incarnation
    }
}
