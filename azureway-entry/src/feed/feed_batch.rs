//! The result of one poll of a backend server's feed.

use azureway_core::prelude::{CacheOp, Incarnation, LoadReport};

/// The cache events and the load report that one poll of a backend server returned.
#[derive(Clone, Debug)]
pub struct FeedBatch {
    /// The incarnation of the server, if the feed names it.
    pub incarnation: Option<Incarnation>,
    /// A number that changes whenever the server restarts.
    pub epoch: u64,
    /// The position from which the next poll continues.
    pub next: u64,
    /// The sequence number of the first cache event. It is `None` if the server's numbers have
    /// gaps; the reader then numbers the events in the order of their arrival.
    pub first: Option<u64>,
    /// Whether events that precede this batch are known to be lost.
    pub lost: bool,
    /// Whether the events are a full snapshot of the cache.
    pub snapshot: bool,
    /// The cache events in order.
    pub ops: Vec<CacheOp>,
    /// The size of the answer, in bytes.
    pub bytes: usize,
    /// The load of the server, if the feed reports it.
    pub load: Option<LoadReport>,
}
