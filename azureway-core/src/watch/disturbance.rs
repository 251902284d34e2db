//! A disturbance of the platform that an entry has observed.

use crate::domain::Timestamp;

/// An observed disturbance of the platform or of the path to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// The time at which the first call was sent that failed.
    pub since: Timestamp,
    /// A time at which the disturbance still lasted.
    pub until: Timestamp,
    /// Whether the platform itself was disturbed, rather than only the path to it: it came back from
    /// a copy.
    pub restored: bool,
}
