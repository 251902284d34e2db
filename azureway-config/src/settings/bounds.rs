//! The bounds of an entry daemon.

use std::time::Duration;

/// The bounds of an entry daemon: what it holds at most and how long it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The caller connections at once.
    pub connections: usize,
    /// The bytes of a request's head.
    pub head: usize,
    /// The bytes of a request's body.
    pub body: usize,
    /// The time in which a request must have arrived whole.
    pub arrival: Duration,
    /// The time between two events of a stream after which it counts as silent.
    pub gap: Duration,
    /// The time in which a connection to a backend server must be made.
    pub connect: Duration,
    /// The idle connections that are kept to a backend server.
    pub idle: usize,
    /// The requests that wait for a pool.
    pub queue: usize,
    /// The messages in each ring between duties.
    pub ring: usize,
    /// The loads of weights that begin in a second, over all pools: the weight store's rate.
    pub loads: u32,
}

impl Bounds {
    /// Creates the default bounds.
    pub const fn new() -> Self {
        Self {
            connections: 1_000,
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            arrival: Duration::from_secs(10),
            gap: Duration::from_secs(5),
            connect: Duration::from_secs(1),
            idle: 8,
            queue: 2_000,
            ring: 1_024,
            loads: 4,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self::new()
    }
}
