//! The daemon: its duties and the rings between them.

mod entry;
mod handles;
mod rings;

pub use entry::Entry;
pub use handles::Handles;
pub use rings::Rings;
