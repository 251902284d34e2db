//! The simulated engine's record of a request on acceptance.

use azureway_core::prelude::{Incarnation, Rank, TokenCount};

/// A request that an engine accepted, queued or running.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedRequest {
    /// The incarnation of the engine that accepted the request.
    pub incarnation: Incarnation,
    /// The number of the request, counted from 1 in order of acceptance.
    pub number: u64,
    /// The rank, which orders the queue.
    pub rank: Rank,
    /// The number of prompt tokens that were cached on acceptance.
    pub cached: TokenCount,
    /// The number of prompt tokens that were not.
    pub uncached: TokenCount,
}
