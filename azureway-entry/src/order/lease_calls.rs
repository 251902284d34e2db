//! The platform calls of a lease.

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::ObjectBody;
use azureway_wire::order::{LEASE_KIND, LeaseBody};

/// The platform calls of a lease.
#[derive(Debug)]
pub struct LeaseCalls<A> {
    api: A,
}

/// The name of the lease of whoever gives orders.
const ORDERS: &str = "orders";

impl<A: ObjectApi> LeaseCalls<A> {
    /// Creates the calls over an object API.
    pub const fn new(api: A) -> Self {
        Self { api }
    }

    /// Reads the lease.
    pub fn read(&self) -> LeaseReply {
        let object = self.api.get(LEASE_KIND, ORDERS);
        object.and_then(found).unwrap_or_else(|e| explain(&e))
    }

    /// Writes the lease if it has the expected version.
    pub fn write(&self, expected: u64, record: &LeaseRecord) -> LeaseReply {
        let Ok(value) = serde_json::to_string(&LeaseBody::from(record)) else {
            return LeaseReply::NoAnswer;
        };
        let put = Put {
            kind: LEASE_KIND,
            name: ORDERS,
            value: &value,
            expected,
        };
        let written = self.api.put(&put).map(LeaseReply::Written);
        written.unwrap_or_else(|e| explain(&e))
    }
}

fn found(object: Option<ObjectBody>) -> Result<LeaseReply, Error> {
    let Some(object) = object else {
        return Ok(LeaseReply::Absent);
    };
    let body: LeaseBody = serde_json::from_str(&object.value)
        .map_err(|e| Error::new(ErrorKind::Protocol, Step::new("read lease"), e))?;
    Ok(LeaseReply::Found(object.version, body.into()))
}

fn explain(error: &Error) -> LeaseReply {
    if error.kind() == ErrorKind::Conflict {
        return LeaseReply::Conflict;
    }
    log::warn!(step = error.step().as_str(), error:% = error; "the lease's call failed");
    LeaseReply::NoAnswer
}
