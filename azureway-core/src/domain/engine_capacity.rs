//! What a model server's memory and links hold, as the configuration states it.

use super::TokenCount;

/// The memory and the link of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// The tokens that running requests and cached blocks may occupy together.
    pub memory: TokenCount,
    /// The size of one token's cache entry, in bytes.
    pub token_bytes: u64,
    /// The capacity of the link over which servers fetch cached blocks, in megabits per second.
    pub link: u64,
}
