//! The changes that backend servers report of their caches.

use super::BlockKey;

/// A cache event: one change that a backend server reports of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheOp {
    /// The block was stored.
    Stored(BlockKey),
    /// The block was evicted.
    Evicted(BlockKey),
}
