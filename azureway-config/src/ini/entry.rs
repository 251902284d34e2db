//! A parsed line with a key and a value.

/// A line of a section with a key and a value, borrowed from the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The line number, starting at 1.
    pub line: u32,
    /// The text before the `=`.
    pub key: &'a str,
    /// The text after the `=`, or an empty text if the line has no `=`.
    pub value: &'a str,
}
