//! An entry of a section.

/// An entry of a section: a line with a key and a value, borrowed from the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The line number, starting at 1.
    pub line: u32,
    /// The key of the entry.
    pub key: &'a str,
    /// The value of the entry, empty if the line has no `=`.
    pub value: &'a str,
}
