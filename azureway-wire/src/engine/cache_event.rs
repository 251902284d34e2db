//! The stored and evicted blocks that an engine reports.

use azureway_core::prelude::CacheOp;
use serde::{Deserialize, Serialize};

use super::HexKey;

/// An event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The block with this key was stored.
    Stored(HexKey),
    /// The block with this key was evicted.
    Evicted(HexKey),
}

impl From<CacheOp> for CacheEvent {
    fn from(op: CacheOp) -> Self {
        match op {
            CacheOp::Stored(key) => Self::Stored(HexKey(key)),
            CacheOp::Evicted(key) => Self::Evicted(HexKey(key)),
        }
    }
}

impl From<CacheEvent> for CacheOp {
    fn from(event: CacheEvent) -> Self {
        match event {
            CacheEvent::Stored(key) => Self::Stored(key.0),
            CacheEvent::Evicted(key) => Self::Evicted(key.0),
        }
    }
}
