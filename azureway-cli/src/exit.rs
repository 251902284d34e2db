//! The exit codes of the program, by which scripts tell apart why a command failed.

use std::process::ExitCode;

/// The result of a command. The numbers are the program's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A file, the platform or an entry instance could not be reached; nothing was written.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The document has faults or is too large; nothing was written.
    Invalid = 3,
    /// Another change was made to the same sections; nothing was written.
    Conflict = 4,
    /// A changed section belongs to another team; nothing was written.
    NotOwned = 5,
    /// The platform did not answer, and the write may have taken effect or may yet do so.
    Unknown = 6,
    /// Something that the command names, such as a section or a version, does not exist.
    NotFound = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
