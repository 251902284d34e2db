//! Describes one fault of a text and where it is.

use std::fmt;

/// A fault in an INI text, with its location and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line number, starting at 1.
    pub line: u32,
    /// The name of the section, empty before the first header.
    pub section: Box<str>,
    /// The key, if the fault concerns one.
    pub key: Option<Box<str>>,
    /// The fault itself, or the expected and the found value.
    pub detail: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: [{}]", self.line, self.section)?;
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        write!(f, ": {}", self.detail)
    }
}
