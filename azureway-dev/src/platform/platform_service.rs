//! The simulated platform as an HTTP server, with injected faults.

use std::io::Read;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use azureway_core::prelude::StoreEra;
use azureway_objects::{ObjectCodec, PlainCodec};
use azureway_wire::object::{ObjectBody, ObjectList};
use serde::Serialize;
use tiny_http::{Header, Method, Request};

use super::{PlatformFaults, Store};
use crate::http::{Query, Reply, RequestHandler};

/// A simulated platform that serves the object API over HTTP.
#[derive(Debug, Default)]
pub struct Platform {
    /// The objects, the faults and the number of calls.
    state: Mutex<(Store, PlatformFaults, u64)>,
    changed: Condvar,
}

/// The maximum size of an object's value, in bytes.
const VALUE_MAX: usize = 1024 * 1024;

impl Platform {
    /// Creates a platform without objects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes an object unconditionally, whatever the faults, and returns its version.
    pub fn seed(&self, kind: &str, name: &str, value: &str) -> u64 {
        let mut state = self.lock();
        let expected = state.0.get(kind, name).map_or(0, |o| o.version);
        let object = state.0.put(kind, name, value.to_owned(), expected);
        self.changed.notify_all();
        object.map_or(0, |o| o.version)
    }

    /// Returns the value of an object, if it exists.
    pub fn value(&self, kind: &str, name: &str) -> Option<String> {
        self.lock().0.get(kind, name).map(|o| o.value.clone())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().1 = faults;
        self.changed.notify_all();
    }

    /// Returns a copy of the objects, to restore later.
    pub fn copy(&self) -> Store {
        self.lock().0.clone()
    }

    /// Restores the objects from a copy, which loses the writes since, and begins the next era.
    pub fn restore(&self, copy: Store) {
        self.lock().0.restore(copy);
        self.changed.notify_all();
    }

    /// Returns the number of calls so far. A watch counts as one, however long it waits.
    pub fn calls(&self) -> u64 {
        self.lock().2
    }

    fn lock(&self) -> MutexGuard<'_, (Store, PlatformFaults, u64)> {
        // A thread that panics while it holds the lock has already failed its test.
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Counts a call. Returns the status with which it fails, if it fails, and the era.
    fn count_call(&self) -> (Option<u16>, StoreEra) {
        let mut state = self.lock();
        state.2 += 1;
        (state.1.count_call(), state.0.era())
    }

    fn get(&self, request: Request, kind: &str, name: &str) {
        let state = self.lock();
        let (object, era) = (state.0.get(kind, name).cloned(), state.0.era());
        drop(state);
        match object {
            Some(object) => answer(request, 200, &object, era),
            None => answer(request, 404, &"no such object", era),
        }
    }

    fn put(&self, mut request: Request, kind: &str, name: &str, expected: u64) {
        let mut value = String::new();
        let limit = VALUE_MAX as u64 + 1;
        let result = request.as_reader().take(limit).read_to_string(&mut value);
        if result.is_err() || value.len() > VALUE_MAX {
            return Reply::text(request, 413, "the value is not text or is too large");
        }
        let mut state = self.lock();
        let written = state.0.put(kind, name, value, expected);
        let lost = written.is_some() && state.1.take_lost();
        let era = state.0.era();
        drop(state);
        self.finish_write(request, written, lost, era);
    }

    fn delete(&self, request: Request, kind: &str, name: &str, expected: u64) {
        let mut state = self.lock();
        let written = state.0.delete(kind, name, expected);
        let lost = written.is_some() && state.1.take_lost();
        let era = state.0.era();
        drop(state);
        self.finish_write(request, written, lost, era);
    }

    fn finish_write(
        &self,
        request: Request,
        written: Option<ObjectBody>,
        lost: bool,
        era: StoreEra,
    ) {
        self.changed.notify_all();
        match written {
            // Dropping the writer closes the connection without an answer.
            Some(_) if lost => drop(request.into_writer()),
            Some(object) => answer(request, 200, &object, era),
            None => answer(request, 409, &"the object has another version", era),
        }
    }

    fn watch(&self, request: Request, kind: &str, after: u64, wait: Duration) {
        let is_unchanged = |s: &mut (Store, PlatformFaults, u64)| {
            !s.1.outage && after <= s.0.version() && s.0.list(kind, after).objects.is_empty()
        };
        let state = self.lock();
        let waited = self.changed.wait_timeout_while(state, wait, is_unchanged);
        let (state, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        let (outage, list): (bool, ObjectList) = (state.1.outage, state.0.list(kind, after));
        let era = state.0.era();
        drop(state);
        if outage {
            return answer(request, 503, &"the platform is down", era);
        }
        if after > list.version {
            return answer(request, 410, &"the version is not known", era);
        }
        answer(request, 200, &list, era);
    }
}

impl RequestHandler for Platform {
    fn handle(&self, request: Request) {
        let (failure, era) = self.count_call();
        if let Some(status) = failure {
            return answer(request, status, &"the call failed", era);
        }
        let url = request.url().to_owned();
        let query = Query::new(&url);
        let expected = query.number("expected");
        let parts: Vec<&str> = query.path.split('/').skip(1).collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::Get, ["objects", kind]) => {
                let state = self.lock();
                let (list, era) = (state.0.list(kind, 0), state.0.era());
                drop(state);
                answer(request, 200, &list, era);
            }
            (Method::Get, ["objects", kind, name]) => self.get(request, kind, name),
            (Method::Put, ["objects", kind, name]) => self.put(request, kind, name, expected),
            (Method::Delete, ["objects", kind, name]) => self.delete(request, kind, name, expected),
            (Method::Get, ["watch", kind]) => {
                let wait = Duration::from_millis(query.number("wait_ms"));
                self.watch(request, kind, query.number("after"), wait);
            }
            _ => Reply::text(request, 404, "no such path"),
        }
    }
}

/// Answers a call, with the era of the store at that time.
fn answer(request: Request, status: u16, value: &impl Serialize, era: StoreEra) {
    let era = era.to_string();
    let header = Header::from_bytes(PlainCodec::ERA_HEADER, era).ok();
    Reply::json_with_header(request, status, value, header);
}
