//! Parsing of INI text into sections, keys and values with their line numbers.

mod entry;
mod fault;
mod faults;
mod parse;
mod reader;
mod section;

pub use entry::Entry;
pub use fault::Fault;
pub use faults::Faults;
pub use parse::parse;
pub use reader::SectionReader;
pub use section::Section;
