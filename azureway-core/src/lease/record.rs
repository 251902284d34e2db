//! A lease as the platform holds it.

use std::time::Duration;

use crate::domain::{FencingNumber, InstanceId};

/// A lease as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The mark of the holder's process; a restarted holder does not know its lease again, unless
    /// its instance runs one process at a time.
    pub process_id: u64,
    /// The number of the write, by which the holder knows it again after a lost answer.
    pub sequence: u64,
    /// The fencing number, higher for each new holder.
    pub number: FencingNumber,
    /// How long after the write servers that check no fencing number still rest.
    pub cooldown: Duration,
}
