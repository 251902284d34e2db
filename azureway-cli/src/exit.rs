//! How the program ends.

use std::process::ExitCode;

/// How the program ends. The numbers are the program's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what it was asked to.
    Done = 0,
    /// A file, the platform or an entry could not be reached; nothing was written.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The document has faults or is too large; nothing was written.
    Invalid = 3,
    /// Somebody else changed the same sections; nothing was written.
    Conflict = 4,
    /// A changed section belongs to another team; nothing was written.
    NotOwned = 5,
    /// The platform did not answer, and the write may have taken effect or may yet do so.
    Unknown = 6,
    /// What the command names does not exist.
    NotFound = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
