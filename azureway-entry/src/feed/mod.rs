//! The feed duty: one thread per model engine, which polls its load reports and cache events.

mod feed_batch;
mod feed_budget;
mod feed_reader;
mod feed_readers;
mod feed_source;
mod http_feed;
mod reader_control;
mod subscribe;

pub use feed_batch::FeedBatch;
pub use feed_budget::FeedBudget;
pub use feed_reader::FeedReader;
pub use feed_readers::FeedReaders;
pub use feed_source::FeedSource;
pub use http_feed::HttpFeed;
pub use reader_control::ReaderControl;
pub use subscribe::Subscribe;
