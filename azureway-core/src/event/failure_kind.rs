//! The classes of failed attempts, by which server health and crash reports are decided.

/// The way in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The server could not be reached.
    Unreachable,
    /// The server rejected the request: its incarnation or weights differ from the expected ones.
    Mismatch,
    /// The server rejected the request for lack of capacity.
    Busy,
    /// The connection broke.
    Broken,
    /// The connection delivered no data within its timeout.
    Silent,
    /// The router recalled the attempt before the server began to answer.
    Recalled,
    /// The server answered with an error that does not indicate a fault of the server.
    Declined,
    /// The server answered with an error or violated its protocol.
    Faulty,
}
