//! Requests of one rank in an order that is fair between client accounts.

use std::collections::{BTreeMap, HashMap};

use super::Queued;
use crate::domain::{AccountId, Request, RequestId, Timestamp};

/// Requests of one rank, in start-time fair order by their cost in tokens.
///
/// Each account has a virtual clock that its requests push on by cost over weight. The
/// request with the least virtual start goes first, so an account that asks for far more
/// than the rest waits behind its own work and not before theirs.
#[derive(Debug, Default)]
pub struct FairQueue {
    clock: u64,
    finish: HashMap<AccountId, u64>,
    waiting: BTreeMap<(u64, RequestId), Queued>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request of an account with `weight`.
    pub fn push(&mut self, request: Request, weight: u32) {
        let last = self.finish.get(&request.account).copied().unwrap_or(0);
        // An account that was idle starts now: it saves up no claim on the past.
        let start = last.max(self.clock);
        let cost = request.cost().get() / u64::from(weight.max(1));
        self.finish
            .insert(request.account.clone(), start + cost.max(1));
        self.waiting
            .insert((start, request.id), Queued { start, request });
    }

    /// Puts a request back that was taken but could not be served yet.
    pub fn restore(&mut self, queued: Queued) {
        self.waiting
            .insert((queued.start, queued.request.id), queued);
    }

    /// Returns the request that goes first.
    pub fn peek(&self) -> Option<&Request> {
        self.waiting.values().next().map(|q| &q.request)
    }

    /// Takes the request that goes first.
    pub fn pop(&mut self) -> Option<Queued> {
        let (_, queued) = self.waiting.pop_first()?;
        self.clock = self.clock.max(queued.start);
        if self.waiting.is_empty() {
            // Nothing waits, so no account is behind another: the clocks can be dropped.
            self.finish.retain(|_, finish| *finish > self.clock);
        }
        Some(queued)
    }

    /// Takes a request out of the order, wherever it stands.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let key = self
            .waiting
            .iter()
            .find(|(k, _)| k.1 == id)
            .map(|(k, _)| *k)?;
        self.waiting.remove(&key).map(|q| q.request)
    }

    /// Takes out every request whose deadline lies before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Request> {
        let late = self
            .waiting
            .iter()
            .filter(|(_, q)| q.request.deadline.is_past(now));
        let late: Vec<_> = late.map(|(key, _)| *key).collect();
        late.iter()
            .filter_map(|key| self.waiting.remove(key))
            .map(|q| q.request)
            .collect()
    }

    /// Returns the earliest deadline of the requests that wait.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.waiting
            .values()
            .map(|q| q.request.deadline.point())
            .min()
    }
}
