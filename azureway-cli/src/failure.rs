//! The error with an exit code of its own, which commands return instead of a plain error.

use std::fmt;

use crate::Exit;

/// An error that ends the program with its own exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    exit: Exit,
    detail: Box<str>,
}

impl Failure {
    /// Creates a failure with an exit code and a message.
    pub fn new(exit: Exit, detail: impl fmt::Display) -> Self {
        let detail = detail.to_string().into();
        Self { exit, detail }
    }

    /// Returns the exit code.
    pub const fn exit(&self) -> Exit {
        self.exit
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Failure {}
