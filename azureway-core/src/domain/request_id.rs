//! The identity of a request within the system.

use std::fmt;

/// The identity of a request: the entry's own number and a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    entry: u64,
    sequence: u64,
}

impl RequestId {
    /// Creates the identity of request `sequence` of the entry process `entry`.
    pub const fn new(entry: u64, sequence: u64) -> Self {
        Self { entry, sequence }
    }

    /// Returns the sequence number.
    pub const fn sequence(self) -> u64 {
        self.sequence
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.entry, self.sequence)
    }
}
