//! The hearing duty: one thread for each model engine that the entry hears.

mod hear;
mod news_reader;
mod news_readers;
mod reader_control;
mod silence;

pub use hear::Hear;
pub use news_reader::NewsReader;
pub use news_readers::NewsReaders;
pub use reader_control::ReaderControl;
pub use silence::Silence;
