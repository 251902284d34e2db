//! What is to be asked next.

use std::time::Duration;

use crate::domain::Timestamp;

/// What is to be asked of the platform next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Ask for all objects.
    List,
    /// Ask for what changed after a version, and wait for a change for so long.
    Watch(u64, Duration),
    /// Ask nothing before this time.
    Wait(Timestamp),
}
