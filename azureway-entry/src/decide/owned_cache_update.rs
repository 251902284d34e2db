//! Cache events on their way from a feed reader to the deciding duty.

use azureway_core::prelude::{CacheOp, CacheUpdate, Incarnation, ServerId};

/// An owned run of consecutive cache events of one backend server, for messages between duties.
#[derive(Clone, Debug)]
pub struct OwnedCacheUpdate {
    /// The server that the events are from.
    pub server: ServerId,
    /// The incarnation of the server at the time of the events.
    pub incarnation: Incarnation,
    /// The sequence number of the first event.
    pub first: u64,
    /// Whether the run lists the whole content of the cache rather than changes to it.
    pub snapshot: bool,
    /// The events in order.
    pub ops: Vec<CacheOp>,
}

impl OwnedCacheUpdate {
    /// Returns a borrowed view of the run.
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
