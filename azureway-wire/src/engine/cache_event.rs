//! The stored and evicted blocks that an engine reports.

use azureway_core::prelude::{BlockKey, CacheOp};
use serde::{Deserialize, Serialize};

/// An event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The block with this key, a hexadecimal number, was stored.
    Stored(String),
    /// The block with this key, a hexadecimal number, was evicted.
    Evicted(String),
}

impl From<CacheOp> for CacheEvent {
    fn from(op: CacheOp) -> Self {
        match op {
            CacheOp::Stored(key) => Self::Stored(format!("{:x}", key.get())),
            CacheOp::Evicted(key) => Self::Evicted(format!("{:x}", key.get())),
        }
    }
}

impl TryFrom<&CacheEvent> for CacheOp {
    type Error = std::num::ParseIntError;

    fn try_from(event: &CacheEvent) -> Result<Self, Self::Error> {
        let key = |digits| u128::from_str_radix(digits, 16).map(BlockKey::new);
        match event {
            CacheEvent::Stored(digits) => key(digits).map(Self::Stored),
            CacheEvent::Evicted(digits) => key(digits).map(Self::Evicted),
        }
    }
}
