//! Tests of the sweeper, which deletes old claims and no others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::claim::Sweeper;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::claim::ClaimBody;
use azureway_wire::object::{ObjectBody, ObjectList};
use googletest::prelude::*;

/// A day, in seconds.
const DAY: u64 = 24 * 60 * 60;

/// The result of a platform call.
type Answer<T> = std::result::Result<T, Error>;

/// A platform that stores one shard of claims and counts calls.
#[derive(Clone, Default)]
struct Shard {
    objects: Arc<Mutex<BTreeMap<String, ObjectBody>>>,
    calls: Arc<Mutex<u32>>,
}

impl ObjectApi for Shard {
    fn get(&self, _: &str, _: &str) -> Answer<Option<ObjectBody>> {
        unreachable!("a sweep only lists and deletes")
    }

    fn list(&self, kind: &str) -> Answer<ObjectList> {
        *self.calls.lock().expect("the lock") += 1;
        let objects = self.objects.lock().expect("the lock");
        let here = objects.values().filter(|_| kind == "claim-07");
        Ok(ObjectList {
            version: 9,
            objects: here.cloned().collect(),
        })
    }

    fn put(&self, _: &Put<'_>) -> Answer<u64> {
        unreachable!("a sweep does not write")
    }

    fn delete(&self, _: &str, name: &str, expected: u64) -> Answer<()> {
        *self.calls.lock().expect("the lock") += 1;
        let mut objects = self.objects.lock().expect("the lock");
        if objects.get(name).is_some_and(|o| o.version == expected) {
            objects.remove(name);
        }
        Ok(())
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Answer<ObjectList> {
        unreachable!("a sweep does not watch")
    }
}

fn claim(name: &str, made: u64) -> (String, ObjectBody) {
    let fingerprint = Fingerprint::of("a", "s", b"body");
    let record = ClaimRecord::open(ClaimNonce::new("n"), fingerprint);
    let value = serde_json::to_string(&ClaimBody::new(&record, made)).expect("JSON");
    let object = ObjectBody {
        name: name.to_owned(),
        version: made,
        value,
        deleted: false,
    };
    (name.to_owned(), object)
}

#[gtest]
fn sweep_deletes_only_claims_older_than_a_day_at_most_20_per_second() {
    let shard = Shard::default();
    let now = 10 * DAY;
    let old = (0..50).map(|n| claim(&format!("old-{n}"), now - DAY - 1 - n));
    let recent = [claim("young", now - DAY), claim("new", now)];
    *shard.objects.lock().expect("the lock") = old.chain(recent).collect();
    let mut sweeper = Sweeper::new(shard.clone(), 7);
    for millis in 0..10_000 {
        sweeper.step(Timestamp::from_millis(millis), now);
    }
    let left = shard.objects.lock().expect("the lock");
    let left: Vec<&str> = left.keys().map(String::as_str).collect();
    expect_that!(left, eq(&vec!["new", "young"]));
    // One list call and 50 deletions. The next shard is not due yet.
    expect_that!(*shard.calls.lock().expect("the lock"), eq(51));
    expect_that!(sweeper.due(), gt(Timestamp::from_millis(50 * 50)));
}
