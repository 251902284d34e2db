//! The limits that an entry enforces while it reads callers' requests.

use std::time::Duration;

/// Limits on the size and the arrival time of callers' requests, as the configuration sets them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time within which a request head must have arrived in full.
    pub head_timeout: Duration,
    /// The longest time that a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Creates the limits that apply until a configuration sets others.
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
