//! What went wrong, for a program to act on.

/// The kind of an [`Error`](super::Error).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The input does not follow its format or leaves its range.
    Invalid,
    /// The named object does not exist.
    NotFound,
    /// The object was changed by somebody else.
    Conflict,
    /// The peer did not answer in time or cannot be reached.
    Unavailable,
    /// The peer refused because too much was asked of it.
    Limited,
    /// The peer answered something that its interface does not allow.
    Protocol,
    /// The operating system refused.
    System,
}
