//! What happened to a cached block.

use super::BlockKey;

/// What happened to a cached block at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOp {
    /// The block was stored.
    Stored(BlockKey),
    /// The block was evicted.
    Evicted(BlockKey),
}
