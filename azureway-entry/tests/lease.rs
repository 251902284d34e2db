//! Tests of the lease object at the platform.

use std::cell::RefCell;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::order::LeaseStore;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use googletest::prelude::*;

/// A platform with one object, which writes replace, in an era.
struct Platform(RefCell<ObjectBody>, StoreEra);

impl ObjectApi for &Platform {
    fn era(&self) -> Option<StoreEra> {
        Some(self.1)
    }

    fn get(&self, _: &str, _: &str) -> std::result::Result<Option<ObjectBody>, Error> {
        Ok(Some(self.0.borrow().clone()))
    }

    fn list(&self, _: &str) -> std::result::Result<ObjectList, Error> {
        Ok(ObjectList::default())
    }

    fn put(&self, put: &Put<'_>) -> std::result::Result<u64, Error> {
        let mut object = self.0.borrow_mut();
        if put.expected != object.version {
            let detail = "the object has another version";
            return Err(Error::new(ErrorKind::Conflict, Step::new("put"), detail));
        }
        object.version += 1;
        put.value.clone_into(&mut object.value);
        Ok(object.version)
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> std::result::Result<(), Error> {
        Ok(())
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> std::result::Result<ObjectList, Error> {
        Ok(ObjectList::default())
    }
}

/// Returns a platform of `era` whose lease object has version 41.
fn platform(value: &str, era: StoreEra) -> Platform {
    let object = ObjectBody {
        name: "orders".to_owned(),
        version: 41,
        value: value.to_owned(),
        deleted: false,
    };
    Platform(RefCell::new(object), era)
}

/// Contends for the lease until it is held. Returns its number and the time.
fn acquire(platform: &Platform, term: Duration) -> (FencingNumber, Timestamp) {
    let store = LeaseStore::new(platform);
    let config = LeaseConfig::new().with_term(term, term / 3);
    let mut lease = Lease::new(config, InstanceId::new("entry"), 7);
    let (mut now, mut held) = (Timestamp::from_millis(1), None);
    for _ in 0..1_000 {
        let reply = match lease.next(now) {
            LeaseStep::Wait(until) => {
                now = until;
                continue;
            }
            LeaseStep::Read => store.read(),
            LeaseStep::Write(expected, record) => store.write(expected, &record),
        };
        lease.enter_era(store.era(), now);
        lease.handle_reply(&reply, now);
        held = held.or(lease.fencing_number(now, true).map(|n| (n, now)));
    }
    held.expect("the lease is taken over")
}

/// Guards against an odd lease object after which no instance orders loads, or with a fencing number
/// that an earlier holder in the same era may have had.
#[gtest]
fn a_lease_that_cannot_be_decoded_is_taken_over_after_its_term() {
    let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let term = Duration::from_secs(3);
    for value in [
        "",
        "null",
        "{",
        "[1]",
        "{\"holder\":\"x\",\"number\":1e999}",
        &deep,
    ] {
        for era in [StoreEra::ZERO, StoreEra::new(2)] {
            let (number, at) = acquire(&platform(value, era), term);
            let first = FencingNumber::first(era).get();
            expect_that!(number.get(), gt(first + 40), "{era} {value:.20}");
            expect_that!(at, ge(Timestamp::ZERO + term), "{era} {value:.20}");
        }
    }
}
