//! The use of a client account at the entry instances that hear of each other.

use std::time::Duration;

/// The use of one client account over all entries whose reports are fresh here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupUse {
    /// The number of entry instances that the figures cover.
    pub entries: f64,
    /// The demand, in units per second.
    pub demand: f64,
    /// The charged use, in units per second.
    pub used: f64,
    /// The demand at this entry at the time of the figures, in units per second.
    pub own: f64,
    /// The mean age of the figures.
    pub age: Duration,
}
