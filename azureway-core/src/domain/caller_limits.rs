//! What callers may send and how long they may take.

use std::time::Duration;

/// What callers may send and how long they may take, as the configuration gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The bytes of a request's head.
    pub head_bytes: usize,
    /// The bytes of a request's body.
    pub body_bytes: usize,
    /// The time in which a head must have arrived.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Creates the limits that hold before a configuration names any.
    pub const fn new() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self::new()
    }
}
