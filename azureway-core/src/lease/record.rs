//! The stored record of a lease.

use std::time::Duration;

use crate::domain::{FencingNumber, InstanceId};

/// The record of a lease as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The identifier of the holder's process. A restarted holder does not recognize its lease,
    /// unless its instance runs one process at a time.
    pub process_id: u64,
    /// The number of the write, by which the holder recognizes it after a lost response.
    pub sequence: u64,
    /// The fencing number, higher for each new holder.
    pub number: FencingNumber,
    /// How long after the write servers that check no fencing number still get no orders.
    pub cooldown: Duration,
}
