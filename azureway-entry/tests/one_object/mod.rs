//! A platform for tests of duties that write one object.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};

/// A platform with at most one object, which fails the first calls.
#[derive(Clone, Default)]
pub(crate) struct Platform(pub(crate) Arc<Mutex<(u32, Option<ObjectBody>)>>);

impl Platform {
    pub(crate) fn failing(calls: u32) -> Self {
        Self(Arc::new(Mutex::new((calls, None))))
    }

    pub(crate) fn object(&self) -> Option<ObjectBody> {
        self.0.lock().expect("the platform").1.clone()
    }

    /// Counts a call. The first ones fail.
    fn call(&self) -> Result<(), Error> {
        let mut state = self.0.lock().expect("the platform");
        if state.0 > 0 {
            state.0 -= 1;
            return Err(Error::new(
                ErrorKind::Unavailable,
                Step::new("call"),
                "away",
            ));
        }
        Ok(())
    }
}

fn conflict() -> Error {
    Error::new(ErrorKind::Conflict, Step::new("call"), "conflict")
}

impl ObjectApi for Platform {
    fn get(&self, _: &str, _: &str) -> Result<Option<ObjectBody>, Error> {
        self.call().map(|()| self.object())
    }

    fn list(&self, _: &str) -> Result<ObjectList, Error> {
        self.call()?;
        let objects = Vec::from_iter(self.object());
        Ok(ObjectList {
            version: objects.iter().map(|o| o.version).sum(),
            objects,
        })
    }

    fn put(&self, put: &Put<'_>) -> Result<u64, Error> {
        self.call()?;
        let mut state = self.0.lock().expect("the platform");
        let known = state.1.as_ref().map_or(0, |o| o.version);
        if known != put.expected {
            return Err(conflict());
        }
        state.1 = Some(ObjectBody {
            name: put.name.to_owned(),
            version: known + 1,
            value: put.value.to_owned(),
            deleted: false,
        });
        Ok(known + 1)
    }

    fn delete(&self, _: &str, _: &str, expected: u64) -> Result<(), Error> {
        self.call()?;
        let mut state = self.0.lock().expect("the platform");
        match state.1.take_if(|o| o.version == expected) {
            Some(_) => Ok(()),
            None => Err(conflict()),
        }
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Result<ObjectList, Error> {
        unimplemented!("the duties watch nothing")
    }
}
