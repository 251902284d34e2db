//! The `[bounds]` section of the settings: limits and timeouts, with their defaults.

use std::time::Duration;

/// The resource limits and timeouts of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum number of concurrent caller connections.
    pub connections: usize,
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time within which a request must have arrived in full.
    pub request_timeout: Duration,
    /// The time without an event after which a stream counts as silent.
    pub event_timeout: Duration,
    /// The time within which a connection to a backend server must be established.
    pub connect_timeout: Duration,
    /// The maximum number of idle connections that are kept to each backend server.
    pub idle_connections: usize,
    /// The maximum number of requests that are queued for a pool.
    pub queue_limit: usize,
    /// The capacity of each ring between duties, in messages.
    pub ring_capacity: usize,
    /// The maximum number of weight loads that start per second over all pools, which limits the
    /// load on the weight store.
    pub load_rate: u32,
    /// The capacity of the instance's link, in megabits per second, which bounds the traffic of
    /// feeds.
    pub link: f64,
    /// The memory of the instance, in megabytes, of which the process keeps a part for what it holds
    /// for callers and backend servers.
    pub memory: u64,
    /// The number of file descriptors that the process may have open.
    pub descriptors: usize,
}

impl Bounds {
    /// Creates the default limits and timeouts.
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
            link: 1_000.0,
            memory: 512,
            descriptors: 4_096,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self::new()
    }
}
