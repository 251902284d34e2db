//! The requests that wait to be tried again.

use super::Retry;
use crate::domain::{Fingerprint, RequestId, StreamPosition, Timestamp};

/// The requests that wait to be tried again, urgent work first, then by age.
#[derive(Debug, Default)]
pub struct Retries {
    waiting: Vec<Retry>,
}

impl Retries {
    /// Creates an empty set.
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

    /// Adds a request.
    pub fn push(&mut self, retry: Retry) {
        let rank = retry.request.rank;
        let place = self.waiting.partition_point(|r| r.request.rank <= rank);
        self.waiting.insert(place, retry);
    }

    /// Takes out every request that waits, in order.
    pub fn take(&mut self) -> Vec<Retry> {
        std::mem::take(&mut self.waiting)
    }

    /// Takes a request out, wherever it waits.
    pub fn remove(&mut self, id: RequestId) -> Option<Retry> {
        let place = self.waiting.iter().position(|r| r.request.id == id)?;
        Some(self.waiting.remove(place))
    }

    /// Takes out every sending of a request whose stream has not begun.
    pub fn banish(&mut self, fingerprint: &Fingerprint) -> Vec<Retry> {
        let fresh = |r: &Retry| r.plan.position == StreamPosition::ZERO;
        let same = |r: &Retry| fresh(r) && r.request.fingerprint == *fingerprint;
        let (barred, waiting) = self.take().into_iter().partition(same);
        self.waiting = waiting;
        barred
    }

    /// Takes out every request that has waited for as long as it may.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Retry> {
        let (late, waiting) = self.take().into_iter().partition(|r| r.until < now);
        self.waiting = waiting;
        late
    }

    /// Returns the earliest time until which a request waits.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|r| r.until).min()
    }
}
