//! The operators' document.

mod parse;

pub use parse::parse;
