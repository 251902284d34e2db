//! Something that is wrong in an INI text.

use std::fmt;

/// Something that is wrong in an INI text: where, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The number of the line, from 1.
    pub line: u32,
    /// The section.
    pub section: Box<str>,
    /// The key, where the fault has one.
    pub key: Option<Box<str>>,
    /// What was expected or seen.
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
