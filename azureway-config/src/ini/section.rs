//! A section with its entries.

use super::Entry;

/// A section with its entries, borrowed from the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section<'a> {
    /// The number of the header's line, from 1.
    pub line: u32,
    /// The text between the brackets.
    pub name: &'a str,
    /// The entries in order.
    pub entries: Vec<Entry<'a>>,
}

impl<'a> Section<'a> {
    /// Splits a name such as `pool main` into its kind and the name of the object.
    pub fn split(&self) -> (&'a str, &'a str) {
        let (kind, name) = self.name.split_once(' ').unwrap_or((self.name, ""));
        (kind.trim(), name.trim())
    }

    /// Returns the last entry with `key`.
    pub fn get(&self, key: &str) -> Option<&Entry<'a>> {
        self.entries.iter().rev().find(|e| e.key == key)
    }
}
