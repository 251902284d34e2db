//! The callers whose requests are not finished.

use std::collections::HashMap;
use std::sync::Arc;

use azureway_core::prelude::{
    Attempt, Refusal, RequestId, ShortAnswer, StreamPosition, TokenCount,
};

use super::Caller;
use crate::admit::Admitted;
use crate::caller::{AnswerChunk, Outcome};

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
            outcome,
        } = admitted;
        let caller = Caller {
            upstream: Arc::new(upstream),
            outcome,
            rank: request.rank,
            arrived: request.arrived,
            prompt: request.chain.tokens(),
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
        let _ = sender.try_send(AnswerChunk::Whole(answer.status, answer.media, body));
        let attempt = Attempt::new(id, 0);
        let attached = Outcome::Attached(attempt, StreamPosition::ZERO, chunks);
        let _ = caller.outcome.try_send(attached);
    }

    /// Tells a caller that its request is refused.
    pub fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(caller) = self.remove(id) {
            // A caller that hung up has no ring any more, and nothing is owed to it.
            let _ = caller.outcome.try_send(Outcome::Refused(id, refusal));
        }
    }
}
