//! Platform calls for the lease, which lets only one entry instance send load orders.

use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::ObjectBody;
use azureway_wire::order::{LEASE_KIND, LeaseBody};

/// Reads and writes the lease object at the platform.
#[derive(Debug)]
pub struct LeaseStore<A> {
    api: A,
}

/// The name of the lease whose holder sends load orders.
const LEASE_NAME: &str = "orders";

impl<A: ObjectApi> LeaseStore<A> {
    /// Creates a store over an object API.
    pub const fn new(api: A) -> Self {
        Self { api }
    }

    /// Returns the era of the last reply, if the platform reports eras.
    pub fn era(&self) -> Option<StoreEra> {
        self.api.era()
    }

    /// Reads the lease.
    pub fn read(&self) -> LeaseReply {
        let object = self.api.get(LEASE_KIND, LEASE_NAME);
        object
            .map(|object| parse_lease(object, self.era().unwrap_or_default()))
            .unwrap_or_else(|e| reply_of(&e))
    }

    /// Writes the lease if its object has the expected version.
    pub fn write(&self, expected: u64, record: &LeaseRecord) -> LeaseReply {
        let Ok(value) = serde_json::to_string(&LeaseBody::from(record)) else {
            return LeaseReply::NoAnswer;
        };
        let put = Put {
            kind: LEASE_KIND,
            name: LEASE_NAME,
            value: &value,
            expected,
        };
        let written = self.api.put(&put).map(LeaseReply::Written);
        written.unwrap_or_else(|e| reply_of(&e))
    }
}

fn parse_lease(object: Option<ObjectBody>, era: StoreEra) -> LeaseReply {
    let Some(object) = object else {
        return LeaseReply::Absent;
    };
    let body = serde_json::from_str::<LeaseBody>(&object.value).map(LeaseRecord::from);
    let record = body.unwrap_or_else(|e| {
        log::warn!(step = "read lease", version = object.version, error:% = e; "the lease cannot be decoded and counts as another instance's");
        unknown_record(object.version, era)
    });
    LeaseReply::Found(object.version, record)
}

/// Returns the record of a lease that cannot be decoded. Each fencing number cost a write, so none
/// that was used in this era is further from the era's first one than the version of the object.
fn unknown_record(version: u64, era: StoreEra) -> LeaseRecord {
    let first = FencingNumber::first(era).get();
    LeaseRecord {
        holder: InstanceId::new(""),
        process_id: 0,
        sequence: 0,
        number: FencingNumber::new(first.saturating_add(version)),
        cooldown: Duration::ZERO,
        era,
    }
}

fn reply_of(error: &Error) -> LeaseReply {
    if error.kind() == ErrorKind::Conflict {
        return LeaseReply::Conflict;
    }
    log::warn!(step = error.step().as_str(), error:% = error; "a platform call for the lease failed");
    match error.kind() {
        ErrorKind::Restored => LeaseReply::Restored,
        _ => LeaseReply::NoAnswer,
    }
}
