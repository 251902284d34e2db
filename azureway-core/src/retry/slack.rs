//! The retries that all entries together may make beyond a share of the traffic.

use std::time::Duration;

/// The retries for a pool that all entries together may make within a window, beyond a share
/// of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySlack {
    /// The retries.
    pub count: u32,
    /// The window.
    pub window: Duration,
}
