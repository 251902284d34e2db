//! The interface through which model engines report their load and cache.

mod cache_event;
mod engine_news;
mod kv_blocks;

pub use cache_event::CacheEvent;
pub use engine_news::EngineNews;
pub use kv_blocks::KvBlocks;
