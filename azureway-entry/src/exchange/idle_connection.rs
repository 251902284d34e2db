//! A connection that waits for its next request.

use std::time::Instant;

use super::BackendConnection;

/// A connection that waits for its next request.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub connection: BackendConnection,
    /// Since when it waits.
    pub since: Instant,
    /// When the server may close it.
    pub until: Instant,
}
