//! The hearing duty: one thread for each model engine that the entry hears.

mod hear;
mod http_news;
mod news_link;
mod news_reader;
mod news_readers;
mod reader_control;
mod server_word;

pub use hear::Hear;
pub use http_news::HttpNews;
pub use news_link::NewsLink;
pub use news_reader::NewsReader;
pub use news_readers::NewsReaders;
pub use reader_control::ReaderControl;
pub use server_word::ServerWord;
