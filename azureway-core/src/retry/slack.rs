//! The allowance for retries that entry instances share, for pools with few requests.

use std::time::Duration;

/// The number of retries for a pool that all entries together may make within a window, beyond
/// the share of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySlack {
    /// The number of retries that all entry instances together may make within one window.
    pub count: u32,
    /// The length of a window.
    pub window: Duration,
}
