//! Lookup of unfinished requests by ID, and the metric events of their progress.

use std::collections::HashMap;
use std::sync::Arc;

use azureway_core::prelude::{
    Attempt, Dispatch, Finish, Refusal, RequestId, ShortAnswer, Timestamp, TokenCount,
};

use super::PendingRequest;
use crate::admit::AdmittedRequest;
use crate::caller::{AnswerChunk, RequestUpdate};
use crate::meter::MetricEvent;

/// The requests that are not finished, as the deciding duty holds them.
#[derive(Debug, Default)]
pub struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an admitted request.
    pub fn insert(&mut self, admitted: AdmittedRequest) {
        let AdmittedRequest {
            request,
            upstream,
            updates,
        } = admitted;
        let pending = PendingRequest {
            upstream: Arc::new(upstream),
            updates,
            rank: request.rank,
            arrived: request.arrived,
            prompt: request.prompt.tokens(),
            prefix: request.prompt.prefix(),
            account: request.account,
            expected_cached: TokenCount::ZERO,
            server: None,
            first_token: None,
        };
        self.requests.insert(request.id, pending);
    }

    /// Returns the request with ID `id`.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Records that a request is sent to a server, and returns the request.
    pub fn record_dispatch(&mut self, dispatch: &Dispatch) -> Option<&PendingRequest> {
        let pending = self.requests.get_mut(&dispatch.attempt.id)?;
        pending.expected_cached = dispatch.cached;
        pending.server = Some(dispatch.server.clone());
        Some(pending)
    }

    /// Records that an answer began at `now`. Returns the metric event if no earlier attempt
    /// began to answer.
    pub fn record_start(&mut self, attempt: Attempt, now: Timestamp) -> Option<MetricEvent> {
        let pending = self.requests.get_mut(&attempt.id)?;
        let first = pending.first_token.is_none();
        pending.first_token.get_or_insert(now);
        first.then(|| MetricEvent::FirstToken(pending.rank, now.since(pending.arrived)))
    }

    /// Removes a request whose answer is complete, and returns its metric event.
    pub fn finish(&mut self, finish: &Finish, now: Timestamp) -> Option<MetricEvent> {
        let id = finish.attempt.id;
        let pending = self.remove(id)?;
        log::info!(
            request:% = id, step = "finish", peer = pending.peer(), account:% = pending.account,
            rank = pending.rank.as_str(), tries = finish.attempt.number,
            prompt = pending.prompt.get(), cached = finish.cached.get(),
            output = finish.output.get(), first = pending.first_token.map(|at| pending.elapsed_ms(at)),
            took = pending.elapsed_ms(now);
            "answered"
        );
        Some(MetricEvent::Finished(Box::new(
            pending.into_finished(finish, now),
        )))
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&id)
    }

    /// Returns to the caller the stored answer of an earlier request with the same key.
    pub fn replay_answer(&mut self, id: RequestId, answer: ShortAnswer) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        let (sender, chunks) = flume::bounded(1);
        let body = answer.body.as_bytes().to_vec();
        let _ = sender.try_send(AnswerChunk::Complete(answer.status, answer.media, body));
        let attempt = Attempt::new(id, 0);
        let started = RequestUpdate::AttemptStarted {
            attempt,
            streamed: false,
            chunks,
        };
        let _ = pending.updates.try_send(started);
    }

    /// Removes a request and tells its caller that it is refused.
    pub fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(pending) = self.remove(id) {
            // The send fails if the caller has disconnected, and then no answer is needed.
            let _ = pending
                .updates
                .try_send(RequestUpdate::Refused(id, refusal));
        }
    }
}
