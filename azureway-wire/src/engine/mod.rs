//! The interface through which model engines report their load and cache.

mod cache_event;
mod feed_body;
mod hex_key;
mod kv_blocks;

pub use cache_event::CacheEvent;
pub use feed_body::FeedBody;
pub use hex_key::HexKey;
pub use kv_blocks::KvBlocks;
