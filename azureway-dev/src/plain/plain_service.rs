//! The HTTP interface of the simulated plain service.

use std::sync::{Arc, Mutex, MutexGuard};

use azureway_wire::header;
use serde_json::json;
use tiny_http::Request;

use super::RunCounts;
use crate::http::{Reply, RequestHandler};

/// A simulated plain service that runs and counts every call. If it deduplicates, it refuses an
/// idempotency key that it has seen before.
#[derive(Debug, Default)]
pub struct PlainService {
    /// The run counts and the number of further answers to lose.
    state: Arc<Mutex<(RunCounts, u32)>>,
    deduplicates: bool,
}

impl PlainService {
    /// Creates a service without deduplication that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a service that refuses an idempotency key that its account has used before.
    pub fn deduplicating() -> Self {
        Self {
            deduplicates: true,
            ..Self::default()
        }
    }

    /// Creates another server of the same service, which shares the run counts.
    #[must_use]
    pub fn another_server(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            deduplicates: self.deduplicates,
        }
    }

    /// Returns a copy of the run counts.
    pub fn run_counts(&self) -> RunCounts {
        self.lock().0.clone()
    }

    /// Closes the connections of the next `count` calls without an answer, after they have run.
    pub fn lose_answers(&self, count: u32) {
        self.lock().1 = count;
    }

    fn lock(&self) -> MutexGuard<'_, (RunCounts, u32)> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl RequestHandler for PlainService {
    fn handle(&self, mut request: Request) {
        let mut body = String::new();
        if request.as_reader().read_to_string(&mut body).is_err() {
            return Reply::text(request, 400, "the body is not text");
        }
        let key = Reply::header(&request, header::IDEMPOTENCY_KEY);
        let key = key.unwrap_or(&body).to_owned();
        let account = Reply::header(&request, header::ACCOUNT).unwrap_or("");
        let account_key = format!("{account} {key}");
        let mut state = self.lock();
        if self.deduplicates && state.0.record_run(&account_key) > 1 {
            drop(state);
            return Reply::text(request, 409, "a call with this key has run before");
        }
        let runs = state.0.record_run(&key);
        let lost = state.1 > 0;
        state.1 -= u32::from(lost);
        drop(state);
        if lost {
            return drop(request.into_writer());
        }
        let path = request.url().to_owned();
        Reply::json(request, 200, &json!({ "path": path, "run": runs }));
    }
}
