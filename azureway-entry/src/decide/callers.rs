//! The callers whose requests are not finished.

use std::collections::HashMap;
use std::sync::Arc;

use azureway_core::prelude::{
    Attempt, Dispatch, Finish, Refusal, RequestId, ShortAnswer, Timestamp, TokenCount,
};

use super::Caller;
use crate::admit::Admitted;
use crate::caller::{AnswerChunk, RequestUpdate};
use crate::meter::MetricEvent;

/// The callers whose requests are not finished.
#[derive(Debug, Default)]
pub struct Callers {
    callers: HashMap<RequestId, Caller>,
}

impl Callers {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the caller of an admitted request.
    pub fn insert(&mut self, admitted: Admitted) {
        let Admitted {
            request,
            upstream,
            updates,
        } = admitted;
        let caller = Caller {
            upstream: Arc::new(upstream),
            updates,
            rank: request.rank,
            arrived: request.arrived,
            prompt: request.chain.tokens(),
            prefix: request.chain.prefix(),
            account: request.account,
            believed: TokenCount::ZERO,
            server: None,
            first: None,
        };
        self.callers.insert(request.id, caller);
    }

    /// Returns a caller.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Caller> {
        self.callers.get_mut(&id)
    }

    /// Notes that a request is sent to a server, and returns its caller.
    pub fn send(&mut self, order: &Dispatch) -> Option<&Caller> {
        let caller = self.callers.get_mut(&order.attempt.id)?;
        caller.believed = order.cached;
        caller.server = Some(order.server.clone());
        Some(caller)
    }

    /// Notes that an answer began at `now`. Returns its measure, for the first try that did.
    pub fn start(&mut self, attempt: Attempt, now: Timestamp) -> Option<MetricEvent> {
        let caller = self.callers.get_mut(&attempt.id)?;
        let first = caller.first.is_none();
        caller.first.get_or_insert(now);
        first.then(|| MetricEvent::FirstToken(caller.rank, now.since(caller.arrived)))
    }

    /// Takes a caller whose answer is complete out. Returns its measure.
    pub fn finish(&mut self, finish: &Finish, now: Timestamp) -> Option<MetricEvent> {
        let id = finish.attempt.id;
        let caller = self.remove(id)?;
        log::info!(
            request:% = id, step = "finish", peer = caller.peer(), account:% = caller.account,
            rank = caller.rank.as_str(), tries = finish.attempt.number,
            prompt = caller.prompt.get(), cached = finish.cached.get(),
            output = finish.output.get(), first = caller.first.map(|at| caller.since(at)),
            took = caller.since(now);
            "answered"
        );
        Some(MetricEvent::Finished(Box::new(caller.served(finish, now))))
    }

    /// Takes a caller out.
    pub fn remove(&mut self, id: RequestId) -> Option<Caller> {
        self.callers.remove(&id)
    }

    /// Gives a caller the answer of an earlier sending.
    pub fn repeat(&mut self, id: RequestId, answer: ShortAnswer) {
        let Some(caller) = self.remove(id) else {
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
        let _ = caller.updates.try_send(started);
    }

    /// Tells a caller that its request is refused.
    pub fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(caller) = self.remove(id) {
            // A caller that hung up has no ring any more, and nothing is owed to it.
            let _ = caller.updates.try_send(RequestUpdate::Refused(id, refusal));
        }
    }
}
