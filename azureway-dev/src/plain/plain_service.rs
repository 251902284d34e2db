//! A plain service over HTTP.

use std::sync::{Mutex, MutexGuard};

use azureway_wire::header;
use serde_json::json;
use tiny_http::Request;

use super::Ledger;
use crate::http::{Reply, Service};

/// A stand-in for a plain service: it runs whatever it is sent and counts.
#[derive(Debug, Default)]
pub struct PlainService {
    state: Mutex<(Ledger, u32)>,
}

impl PlainService {
    /// Creates a service that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often each call ran.
    pub fn ledger(&self) -> Ledger {
        self.lock().0.clone()
    }

    /// Loses the answers of the next `count` calls after they have run.
    pub fn lose(&self, count: u32) {
        self.lock().1 = count;
    }

    fn lock(&self) -> MutexGuard<'_, (Ledger, u32)> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Service for PlainService {
    fn answer(&self, mut request: Request) {
        let mut body = String::new();
        if request.as_reader().read_to_string(&mut body).is_err() {
            return Reply::text(request, 400, "the body is no text");
        }
        let key = Reply::header(&request, header::IDEMPOTENCY_KEY)
            .unwrap_or(&body)
            .to_owned();
        let mut state = self.lock();
        let runs = state.0.run(&key);
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
