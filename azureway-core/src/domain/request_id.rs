//! The identifiers that entries assign to requests without coordination.

use std::fmt;

/// The identity of a request: the number of the entry process and a sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    entry: u64,
    sequence: u64,
}

/// An odd number near 2^64 divided by the golden ratio; multiplying by it spreads consecutive
/// numbers evenly.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

impl RequestId {
    /// Creates the identity of request `sequence` of the entry process `entry`.
    pub const fn new(entry: u64, sequence: u64) -> Self {
        Self { entry, sequence }
    }

    /// Returns a seed for random choices that differs between requests and between entries.
    pub const fn seed(self) -> u64 {
        self.entry ^ self.sequence.wrapping_mul(GOLDEN_RATIO)
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
