//! Until when, and since when, an answer of the platform tells of changes.

use azureway_core::prelude::Timestamp;

/// The times of an answer of the platform, by the clock of the entry that read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadTimes {
    /// The earliest time at which the changes in the answer can have happened. A list of all objects also holds
    /// older ones.
    pub since: Timestamp,
    /// The time until which every change is known.
    pub until: Timestamp,
    /// The time at which the entry recovered from the last outage of the platform, if it saw one.
    pub recovered: Option<Timestamp>,
}
