//! The headers and attempt limits of requests that a gateway forwards unchanged.

use std::time::Duration;

use azureway_core::prelude::Timestamp;

/// The forwarded parts of a request on a configured route, and the limits of its attempts.
#[derive(Clone, Debug)]
pub struct Passthrough {
    /// The end-to-end headers, without those that concern only the connection.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The caller's identifier of this transmission of the request.
    pub attempt_id: Option<Box<str>>,
    /// Whether the request must not run more than once.
    pub once: bool,
    /// The priority that is sent to backend servers; lower values go first.
    pub priority: u8,
    /// The time after which the caller no longer waits.
    pub deadline: Timestamp,
    /// The time for which a backend server may be silent before the attempt fails and another
    /// server is tried. The last attempt may take until the deadline.
    pub read_timeout: Duration,
    /// The largest number of attempts, each at a backend server.
    pub max_attempts: u32,
}
