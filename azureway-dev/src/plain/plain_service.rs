//! A plain service over HTTP.

use std::sync::{Arc, Mutex, MutexGuard};

use azureway_wire::header;
use serde_json::json;
use tiny_http::Request;

use super::RunCounts;
use crate::http::{Reply, RequestHandler};

/// A stand-in for a plain service: it runs whatever it is sent and counts, unless it checks keys.
#[derive(Debug, Default)]
pub struct PlainService {
    state: Arc<Mutex<(RunCounts, u32)>>,
    deduplicates: bool,
}

impl PlainService {
    /// Creates a service that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a service that refuses a key of an account which has run before.
    pub fn deduplicating() -> Self {
        Self {
            deduplicates: true,
            ..Self::default()
        }
    }

    /// Creates another server of the same service, which shares what has run.
    #[must_use]
    pub fn replica(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            deduplicates: self.deduplicates,
        }
    }

    /// Returns how often each call ran.
    pub fn run_counts(&self) -> RunCounts {
        self.lock().0.clone()
    }

    /// Loses the answers of the next `count` calls after they have run.
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
            return Reply::text(request, 400, "the body is no text");
        }
        let key = Reply::header(&request, header::IDEMPOTENCY_KEY);
        let key = key.unwrap_or(&body).to_owned();
        let account = Reply::header(&request, header::ACCOUNT).unwrap_or("");
        let scoped = format!("{account} {key}");
        let mut state = self.lock();
        if self.deduplicates && state.0.record_run(&scoped) > 1 {
            drop(state);
            return Reply::text(request, 409, "the key has run before");
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
