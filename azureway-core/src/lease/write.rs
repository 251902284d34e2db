//! An entry's record of a lease write, kept until it knows whether the write took effect.

use crate::domain::{FencingNumber, Timestamp};

/// A lease write whose response is pending or was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// A time before the write was sent, from which its term is measured.
    pub started: Timestamp,
    /// The sequence number of the write.
    pub sequence: u64,
    /// The fencing number in the written record.
    pub number: FencingNumber,
}
