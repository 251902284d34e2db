//! The lease to give orders as the platform stores it, in JSON.

use std::time::Duration;

use azureway_core::prelude::{FencingNumber, InstanceId, LeaseRecord, StoreEra};
use serde::{Deserialize, Serialize};

/// The stored form of a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LeaseBody {
    /// The instance that holds the lease.
    pub holder: String,
    /// The identifier of the holder's process.
    pub mark: u64,
    /// The sequence number of the write.
    pub beat: u64,
    /// The fencing number, higher for each new holder.
    pub number: u64,
    /// The time after the write during which no orders are sent to servers that check no fencing
    /// number, in milliseconds, rounded up.
    #[serde(default)]
    pub rest: u64,
    /// The era of the store in which the record was written.
    #[serde(default)]
    pub era: u64,
}

impl From<&LeaseRecord> for LeaseBody {
    fn from(record: &LeaseRecord) -> Self {
        Self {
            holder: record.holder.to_string(),
            mark: record.process_id,
            beat: record.sequence,
            number: record.number.get(),
            rest: u64::try_from(record.cooldown.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX),
            era: record.era.get(),
        }
    }
}

impl From<LeaseBody> for LeaseRecord {
    fn from(body: LeaseBody) -> Self {
        Self {
            holder: InstanceId::new(&body.holder),
            process_id: body.mark,
            sequence: body.beat,
            number: FencingNumber::new(body.number),
            cooldown: Duration::from_millis(body.rest),
            era: StoreEra::new(body.era),
        }
    }
}
