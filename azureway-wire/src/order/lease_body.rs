//! The value of a lease.

use azureway_core::prelude::{FencingNumber, InstanceId, LeaseRecord};
use serde::{Deserialize, Serialize};

/// The value of a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseBody {
    /// The instance that holds the lease.
    pub holder: String,
    /// The mark of the holder's process.
    pub mark: u64,
    /// The number of the write.
    pub beat: u64,
    /// The fencing number.
    pub number: u64,
}

impl From<&LeaseRecord> for LeaseBody {
    fn from(record: &LeaseRecord) -> Self {
        Self {
            holder: record.holder.to_string(),
            mark: record.mark,
            beat: record.beat,
            number: record.number.get(),
        }
    }
}

impl From<LeaseBody> for LeaseRecord {
    fn from(body: LeaseBody) -> Self {
        Self {
            holder: InstanceId::new(&body.holder),
            mark: body.mark,
            beat: body.beat,
            number: FencingNumber::new(body.number),
        }
    }
}
