//! The output of the watch schedule: the next platform call, or a wait.

use std::time::Duration;

use crate::domain::Timestamp;

/// The next call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// List all objects.
    List,
    /// Watch for changes after this version, and wait up to this long for one.
    Watch(u64, Duration),
    /// Make no call before this time.
    Wait(Timestamp),
}
