//! What a model server's memory and links hold, as the configuration states it.

use std::time::Duration;

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

/// The number of bits of a byte.
const BYTE_BITS: u64 = 8;

impl EngineCapacity {
    /// Returns the time in which the link carries the cache entries of `tokens` tokens, or zero if the
    /// link is not stated.
    pub fn transfer_time(&self, tokens: TokenCount) -> Duration {
        let bits = tokens
            .get()
            .saturating_mul(self.token_bytes.saturating_mul(BYTE_BITS));
        // A megabit per second is a bit per microsecond.
        Duration::from_micros(bits.checked_div(self.link).unwrap_or_default())
    }
}
