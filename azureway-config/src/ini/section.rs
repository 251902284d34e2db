//! A parsed section, from which a reader takes typed values.

use super::Entry;

/// A section of an INI text with its keys and values, borrowed from the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section<'a> {
    /// The line number of the header, starting at 1.
    pub line: u32,
    /// The text between the brackets of the header.
    pub name: &'a str,
    /// The keys and values in the order of the text.
    pub entries: Vec<Entry<'a>>,
}

impl<'a> Section<'a> {
    /// Splits the section name, such as `pool main`, into the kind of the section and the name of
    /// the object.
    pub fn split(&self) -> (&'a str, &'a str) {
        let (kind, name) = self.name.split_once(' ').unwrap_or((self.name, ""));
        (kind.trim(), name.trim())
    }

    /// Returns the last line with `key`.
    pub fn get(&self, key: &str) -> Option<&Entry<'a>> {
        self.entries.iter().rev().find(|e| e.key == key)
    }
}
