//! The bounds of an entry daemon.

use std::time::Duration;

/// The bounds of an entry daemon: what it holds at most and how long it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The caller connections at once.
    pub connections: usize,
    /// The bytes of a request's head.
    pub head_bytes: usize,
    /// The bytes of a request's body.
    pub body_bytes: usize,
    /// The time in which a request must have arrived whole.
    pub request_timeout: Duration,
    /// The time between two events of a stream after which it counts as silent.
    pub event_timeout: Duration,
    /// The time in which a connection to a backend server must be made.
    pub connect_timeout: Duration,
    /// The idle connections that are kept to a backend server.
    pub idle_connections: usize,
    /// The requests that wait for a pool.
    pub queue_limit: usize,
    /// The messages in each ring between duties.
    pub ring_capacity: usize,
    /// The loads of weights that begin in a second, over all pools: the weight store's rate.
    pub load_rate: u32,
}

impl Bounds {
    /// Creates the default bounds.
    pub const fn new() -> Self {
        Self {
            connections: 1_000,
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            request_timeout: Duration::from_secs(10),
            event_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            idle_connections: 8,
            queue_limit: 2_000,
            ring_capacity: 1_024,
            load_rate: 4,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self::new()
    }
}
