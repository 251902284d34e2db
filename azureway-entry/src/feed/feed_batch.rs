//! What a backend server told at once.

use azureway_core::prelude::{CacheOp, Incarnation, LoadReport};

/// What a backend server told of itself at once.
#[derive(Clone, Debug)]
pub struct FeedBatch {
    /// Its life, where it names it.
    pub incarnation: Option<Incarnation>,
    /// A number that changes when it starts again.
    pub epoch: u64,
    /// From where to ask next.
    pub next: u64,
    /// The number of the first cache event; where the server's numbers have holes, there is
    /// none, and the events are taken for the ones that follow.
    pub first: Option<u64>,
    /// Whether events before these are known to be lost.
    pub lost: bool,
    /// Whether the events are the whole content of the cache.
    pub snapshot: bool,
    /// The cache events in order.
    pub ops: Vec<CacheOp>,
    /// What it says of its load.
    pub load: Option<LoadReport>,
}
