//! A lease write without a response.

use crate::domain::{FencingNumber, Timestamp};

/// A lease write whose response is pending or was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// When the write was decided on, before it was sent.
    pub started: Timestamp,
    /// The number of the write.
    pub sequence: u64,
    /// The fencing number in the written record.
    pub number: FencingNumber,
}
