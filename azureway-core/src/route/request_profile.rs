//! The part of a request that policies and estimates use.

use crate::domain::{PrefixKey, Rank, TokenCount};

/// The properties of a request that a routing policy uses.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// The key of the shared prefix.
    pub prefix: PrefixKey,
    /// The rank of the request.
    pub rank: Rank,
    /// The length of the prompt in tokens.
    pub prompt: TokenCount,
    /// The length of the shared prefix in tokens if servers can fetch it from one another, and
    /// zero otherwise. Computing a prefix that could be fetched is a waste.
    pub fetchable: TokenCount,
    /// A number that differs between requests, to spread choices that would otherwise coincide.
    pub seed: u64,
}
