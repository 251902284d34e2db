//! A write of a lease whose answer is awaited.

use crate::domain::{FencingNumber, Timestamp};

/// A write of a lease whose answer is awaited or was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// When the write was decided, before it was sent.
    pub started: Timestamp,
    /// The number of the write.
    pub sequence: u64,
    /// The fencing number that it writes.
    pub number: FencingNumber,
}
