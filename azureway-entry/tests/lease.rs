//! Tests of the lease object at the platform.

use std::cell::RefCell;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::order::LeaseStore;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use googletest::prelude::*;

/// A platform with one object, which writes replace.
struct Platform(RefCell<ObjectBody>);

impl ObjectApi for &Platform {
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

/// Guards against an odd lease object after which no instance orders loads.
#[gtest]
fn a_lease_that_cannot_be_decoded_is_taken_over_after_its_term() {
    let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    for value in [
        "",
        "null",
        "{",
        "[1]",
        "{\"holder\":\"x\",\"number\":1e999}",
        &deep,
    ] {
        let platform = Platform(RefCell::new(ObjectBody {
            name: "orders".to_owned(),
            version: 41,
            value: value.to_owned(),
            deleted: false,
        }));
        let store = LeaseStore::new(&platform);
        let term = Duration::from_secs(3);
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
            lease.handle_reply(&reply, now);
            held = held.or(lease.fencing_number(now, true).map(|n| (n, now)));
        }
        let (number, at) = held.expect("the lease is taken over");
        expect_that!(number, gt(FencingNumber::new(41)), "{value:.20}");
        expect_that!(at, ge(Timestamp::ZERO + term), "{value:.20}");
    }
}
