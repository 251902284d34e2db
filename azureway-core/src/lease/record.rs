//! The content of the lease object, by which entries learn who holds the lease.

use std::time::Duration;

use crate::domain::{FencingNumber, InstanceId, StoreEra};

/// The record of a lease as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The identifier of the holder's process. A restarted process has another identifier and takes
    /// over the lease of its predecessor early only with [`LeaseConfig::single_process`].
    ///
    /// [`LeaseConfig::single_process`]: super::LeaseConfig::single_process
    pub process_id: u64,
    /// The sequence number of the write. After a lost response, the holder reads it to find out
    /// whether the write took effect.
    pub sequence: u64,
    /// The fencing number, higher for each new holder.
    pub number: FencingNumber,
    /// The rest of the holder's cooldown at the time of the write. Until it ends, the holder sends
    /// no orders to servers that check no fencing number.
    pub cooldown: Duration,
    /// The era of the store in which the record was written. A record of an earlier era does not
    /// show who held the lease last.
    pub era: StoreEra,
}
