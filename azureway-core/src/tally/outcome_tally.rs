//! The counters behind the outcome metrics, and the requests that are not counted yet.

use std::collections::{BTreeMap, HashMap};

use super::{OpenRequest, Outcome, OutcomeCount};
use crate::domain::{Rank, Request, RequestId, RequestKind, Timestamp};
use crate::event::Action;

/// Counts every request once by rank, kind and outcome, with its worth.
///
/// A request is opened when it arrives and counted when it is closed. Closing removes it, so
/// a late or duplicate end of the same request is not counted.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTally {
    open: HashMap<RequestId, OpenRequest>,
    counts: BTreeMap<(Rank, bool, Outcome), OutcomeCount>,
}

impl OutcomeTally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request arrived.
    pub fn open(&mut self, request: &Request) {
        self.open.insert(request.id, request.into());
    }

    /// Records that the first token of a request arrived at `now`.
    pub fn start(&mut self, id: RequestId, now: Timestamp) {
        if let Some(open) = self.open.get_mut(&id) {
            open.first_token.get_or_insert(now);
        }
    }

    /// Counts a request whose answer completed at `now` as on time or late.
    pub fn finish(&mut self, id: RequestId, now: Timestamp) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let late = open.deadline.is_past(open.first_token.unwrap_or(now));
        self.close(id, if late { Outcome::Late } else { Outcome::OnTime });
    }

    /// Counts a request with an outcome and removes it.
    pub fn close(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(open) = self.open.remove(&id) {
            let once = open.kind == RequestKind::AtMostOnce;
            let count = self.counts.entry((open.rank, once, outcome));
            count.or_default().add(open.worth);
        }
    }

    /// Counts the requests that `actions` end at `now`.
    pub fn apply_actions(&mut self, actions: &[Action], now: Timestamp) {
        for action in actions {
            match action {
                Action::Refuse(id, refusal) if refusal.not_run => self.close(*id, Outcome::Refused),
                Action::Refuse(id, _) => self.close(*id, Outcome::Broken),
                Action::ReplayAnswer(id, _) => self.finish(*id, now),
                _ => {}
            }
        }
    }

    /// Returns the number of requests that have arrived but not ended.
    pub fn pending(&self) -> usize {
        self.open.len()
    }

    /// Returns the count of a rank, a kind and an outcome.
    pub fn count(&self, rank: Rank, kind: RequestKind, outcome: Outcome) -> OutcomeCount {
        let once = kind == RequestKind::AtMostOnce;
        let count = self.counts.get(&(rank, once, outcome));
        count.copied().unwrap_or_default()
    }

    /// Returns the number of requests that have ended.
    pub fn total(&self) -> u64 {
        self.counts.values().map(|c| c.requests).sum()
    }
}
