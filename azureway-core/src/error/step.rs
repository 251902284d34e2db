//! The names of operations, by which an error says what failed.

use std::fmt;

/// The step of an operation, such as `read settings`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Step(&'static str);

impl Step {
    /// Creates a step from a short lower-case phrase.
    pub const fn new(phrase: &'static str) -> Self {
        Self(phrase)
    }

    /// Returns the phrase that names the step.
    pub const fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}
