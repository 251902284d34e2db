//! What is passed on of a request.

use std::time::Duration;

use azureway_core::prelude::Timestamp;

/// What is passed on of a request that is not of the product's own interface.
#[derive(Clone, Debug)]
pub struct Passthrough {
    /// The headers that belong to the request and not to its connection.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The caller's own identity of this sending.
    pub attempt_id: Option<Box<str>>,
    /// Whether it may run only once.
    pub once: bool,
    /// The priority that backend servers are told; lower goes first.
    pub priority: u8,
    /// When the caller no longer waits.
    pub deadline: Timestamp,
    /// How long a backend server may be silent while another one could still be asked.
    pub read_timeout: Duration,
    /// The backend servers that it may be sent to.
    pub max_attempts: u32,
}
