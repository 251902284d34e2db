//! Cache events on their way from a feed reader to the deciding duty.

use azureway_core::prelude::{CacheOp, CacheUpdate, Incarnation, ServerId};

use crate::memory::MemoryHold;

/// An owned run of consecutive cache events of one backend server, for messages between duties.
#[derive(Debug)]
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
    /// The memory of the events.
    pub hold: MemoryHold,
}

impl OwnedCacheUpdate {
    /// Sets the hold that the memory of the events is in.
    #[must_use]
    pub fn with_hold(mut self, hold: MemoryHold) -> Self {
        self.hold = hold;
        self
    }

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
