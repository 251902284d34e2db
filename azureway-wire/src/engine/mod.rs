//! What a model engine tells of itself.

mod cache_event;
mod engine_news;

pub use cache_event::CacheEvent;
pub use engine_news::EngineNews;
