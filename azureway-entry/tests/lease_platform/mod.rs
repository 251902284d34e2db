//! A platform for tests of the ordering duty.
#![expect(
    unreachable_pub,
    reason = "a module of a test is not reachable from outside"
)]

use std::time::Duration;

use azureway_core::prelude::Error;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};

/// The result of a platform call.
type CallResult<T> = std::result::Result<T, Error>;

/// A platform that accepts every write of the lease.
pub struct LeasePlatform;

impl ObjectApi for LeasePlatform {
    fn get(&self, _: &str, _: &str) -> CallResult<Option<ObjectBody>> {
        Ok(None)
    }

    fn list(&self, _: &str) -> CallResult<ObjectList> {
        Ok(ObjectList::default())
    }

    fn put(&self, put: &Put<'_>) -> CallResult<u64> {
        Ok(put.expected + 1)
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> CallResult<()> {
        unreachable!("no claim is old")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> CallResult<ObjectList> {
        unreachable!("the duty does not watch")
    }
}
