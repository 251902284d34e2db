//! What a policy is told of a request.

use crate::domain::{PrefixKey, Rank, TokenCount};

/// What a policy is told of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// The key of the shared prefix.
    pub prefix: PrefixKey,
    /// The rank.
    pub rank: Rank,
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// The tokens of the shared prefix, where servers can fetch it from one another: computing
    /// it once more is a waste.
    pub fetchable: TokenCount,
    /// A number that differs between requests, for choices that must not all be the same.
    pub seed: u64,
}
