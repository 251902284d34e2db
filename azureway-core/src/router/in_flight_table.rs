//! Finds requests in flight by attempt, and recognises stale attempts.

use std::collections::{BTreeMap, BTreeSet};

use super::{InFlight, RecallIndex};
use crate::domain::{Attempt, RequestId, ServerId, Timestamp, TokenCount};
use crate::fleet::Fleet;

/// The requests in flight by their id.
#[derive(Debug, Default)]
pub struct InFlightTable {
    requests: BTreeMap<RequestId, InFlight>,
    /// The requests with a time limit, in its order.
    limits: BTreeSet<(Timestamp, RequestId)>,
    recalls: RecallIndex,
}

impl InFlightTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Inserts a request in flight.
    pub fn insert(&mut self, flight: InFlight) {
        let id = flight.attempt.id;
        self.limits
            .extend(flight.request.time_limit.map(|limit| (limit, id)));
        self.recalls.insert(&flight);
        self.requests.insert(id, flight);
    }

    /// Records that the answer of an attempt has begun. Returns its request with the prompt tokens that
    /// were pending until then, or `None` if the attempt is stale.
    pub fn start(&mut self, attempt: Attempt) -> Option<(&InFlight, TokenCount)> {
        let flight = self.requests.get_mut(&attempt.id);
        let flight = flight.filter(|f| f.attempt == attempt)?;
        let pending = flight.pending_prefill();
        flight.started = true;
        self.recalls.remove(flight);
        Some((flight, pending))
    }

    /// Returns the request of an attempt, or `None` if the attempt is stale, that is, not the
    /// current one of its request.
    pub fn current(&mut self, attempt: Attempt) -> Option<&mut InFlight> {
        self.requests
            .get_mut(&attempt.id)
            .filter(|f| f.attempt == attempt)
    }

    /// Removes the request of an attempt, if the attempt is the current one.
    pub fn take(&mut self, attempt: Attempt) -> Option<InFlight> {
        self.current(attempt)?;
        self.remove(attempt.id)
    }

    /// Removes a request, whatever its current attempt.
    pub fn remove(&mut self, id: RequestId) -> Option<InFlight> {
        let flight = self.requests.remove(&id)?;
        if let Some(limit) = flight.request.time_limit {
            self.limits.remove(&(limit, id));
        }
        self.recalls.remove(&flight);
        Some(flight)
    }

    /// Returns the earliest time limit of the requests.
    pub fn next_limit(&self) -> Option<Timestamp> {
        self.limits.first().map(|(limit, _)| *limit)
    }

    /// Returns a request whose time limit is before `now`, if there is one.
    pub fn expired(&self, now: Timestamp) -> Option<&InFlight> {
        let (limit, id) = self.limits.first()?;
        self.requests.get(id).filter(|_| *limit < now)
    }

    /// Returns the time at which the next requests that have not begun are to be recalled.
    pub fn next_recall(&self, fleet: &Fleet) -> Option<Timestamp> {
        self.recalls.next_recall(fleet)
    }

    /// Returns the requests that are to be recalled at `now`, each of them once.
    pub fn take_recalls(&mut self, fleet: &Fleet, now: Timestamp) -> Vec<&InFlight> {
        let due = self.recalls.take_due(fleet, now);
        due.iter().filter_map(|id| self.requests.get(id)).collect()
    }

    /// Returns all requests in flight.
    pub fn iter(&self) -> impl Iterator<Item = &InFlight> {
        self.requests.values()
    }

    /// Returns the requests whose answer has not begun for modification.
    pub fn unstarted_mut(&mut self) -> impl Iterator<Item = &mut InFlight> {
        self.requests.values_mut().filter(|f| !f.started)
    }

    /// Returns the requests in flight at one server.
    pub fn at_server<'a>(&'a self, server: &'a ServerId) -> impl Iterator<Item = &'a InFlight> {
        self.requests.values().filter(move |f| f.server == *server)
    }
}
