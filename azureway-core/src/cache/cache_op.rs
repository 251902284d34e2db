//! A cache event of a backend server.

use super::BlockKey;

/// A cache event of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOp {
    /// The block was stored.
    Stored(BlockKey),
    /// The block was evicted.
    Evicted(BlockKey),
}
