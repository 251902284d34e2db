//! The pool's record of a connection between two requests.

use std::time::Instant;

use super::BackendConnection;

/// An idle connection to a backend server, kept for the next request.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub connection: BackendConnection,
    /// The time at which the connection became idle.
    pub idle_since: Instant,
    /// The time from which the connection is no longer used, since the server may close it.
    pub expires: Instant,
}
