//! How a try failed.

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The server could not be reached.
    Unreachable,
    /// The server refused: its incarnation or weights are not the expected ones.
    Mismatch,
    /// The server refused: it has no room.
    Busy,
    /// The connection broke.
    Broken,
    /// The connection went silent.
    Silent,
    /// The server answered with a failure of its own, which says nothing of its health.
    Declined,
    /// The server answered something that its interface does not allow, or an error.
    Faulty,
}
