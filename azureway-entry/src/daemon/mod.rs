//! The daemon: its duties and the rings between them.

mod doors;
mod entry;
mod rings;

pub use doors::Doors;
pub use entry::Entry;
pub use rings::Rings;
