//! Holds requests until a retry is allowed and a backend server can take it.

use super::Retry;
use crate::domain::{RequestId, StreamPosition, Timestamp};

/// The requests that wait for a retry, urgent work first and otherwise in order of insertion.
#[derive(Debug, Default)]
pub struct RetryQueue {
    retries: Vec<Retry>,
}

impl RetryQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting retries.
    pub fn len(&self) -> usize {
        self.retries.len()
    }

    /// Returns whether no retry waits.
    pub fn is_empty(&self) -> bool {
        self.retries.is_empty()
    }

    /// Adds a retry after the others of its rank.
    pub fn push(&mut self, retry: Retry) {
        let rank = retry.request.rank;
        let index = self.retries.partition_point(|r| r.request.rank <= rank);
        self.retries.insert(index, retry);
    }

    /// Removes and returns all retries in order.
    pub fn take(&mut self) -> Vec<Retry> {
        std::mem::take(&mut self.retries)
    }

    /// Removes the retry of a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Retry> {
        let index = self.retries.iter().position(|r| r.request.id == id)?;
        Some(self.retries.remove(index))
    }

    /// Removes and returns every retry for which `removed` is true and whose stream has not begun.
    pub fn remove_fresh(&mut self, removed: impl Fn(&Retry) -> bool) -> Vec<Retry> {
        let fresh = |r: &Retry| r.plan.position == StreamPosition::ZERO;
        let removed = |r: &Retry| fresh(r) && removed(r);
        let (removed, remaining) = self.take().into_iter().partition(removed);
        self.retries = remaining;
        removed
    }

    /// Removes and returns every retry that expired before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Retry> {
        let (expired, remaining) = self.take().into_iter().partition(|r| r.expires < now);
        self.retries = remaining;
        expired
    }

    /// Returns the earliest expiry of the retries.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.retries.iter().map(|r| r.expires).min()
    }
}
