//! Parsing of server-sent events, line by line.

mod line;

pub use line::SseLine;
