//! A request's place in an engine.

use azureway_core::prelude::{Incarnation, Rank, TokenCount};

/// A request's place in an engine.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedRequest {
    /// The incarnation in which the request was taken.
    pub incarnation: Incarnation,
    /// The number of the connection.
    pub number: u64,
    /// The rank.
    pub rank: Rank,
    /// The prompt tokens that were cached.
    pub cached: TokenCount,
    /// The prompt tokens that were not.
    pub uncached: TokenCount,
}
