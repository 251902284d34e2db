//! A line with a key and a value.

/// A line with a key and a value, borrowed from the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The number of the line, from 1.
    pub line: u32,
    /// The key.
    pub key: &'a str,
    /// The value, empty where the line has no `=`.
    pub value: &'a str,
}
