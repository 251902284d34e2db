//! A run of cache events as a message.

use azureway_core::prelude::{CacheOp, CacheUpdate, Incarnation, ServerId};

/// A run of cache events, stored in a message between duties.
#[derive(Clone, Debug)]
pub struct OwnedCacheUpdate {
    /// The server.
    pub server: ServerId,
    /// The server's incarnation when the events arose.
    pub incarnation: Incarnation,
    /// The number of the first event of the run.
    pub first: u64,
    /// Whether the run is the server's whole content.
    pub snapshot: bool,
    /// The events in order.
    pub ops: Vec<CacheOp>,
}

impl OwnedCacheUpdate {
    /// Returns a view of the run.
    pub fn view(&self) -> CacheUpdate<'_> {
        CacheUpdate {
            server: &self.server,
            incarnation: self.incarnation,
            first: self.first,
            snapshot: self.snapshot,
            ops: &self.ops,
        }
    }
}
