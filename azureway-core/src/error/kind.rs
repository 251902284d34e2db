//! The classes of errors, by which callers of the library decide what to do next.

/// The kind of an [`Error`](super::Error), for programs to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The input does not follow its format or is out of range.
    Invalid,
    /// The named object does not exist.
    NotFound,
    /// The object was changed by another writer.
    Conflict,
    /// The peer did not answer in time or cannot be reached.
    Unavailable,
    /// The platform was restored from a copy since the last call, so no version that the caller knows
    /// is valid any more. The call may have been carried out.
    Restored,
    /// The peer refused because one of its limits was exceeded.
    Limited,
    /// The answer of the peer violates its interface.
    Protocol,
    /// A call of the operating system failed.
    System,
}
