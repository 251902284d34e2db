//! The requests in flight.

use std::collections::BTreeMap;

use super::InFlight;
use crate::domain::{Attempt, RequestId, ServerId};

/// The requests in flight by their identity.
#[derive(Debug, Default)]
pub struct InFlightTable {
    flights: BTreeMap<RequestId, InFlight>,
}

impl InFlightTable {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Tells whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Adds a request.
    pub fn insert(&mut self, flight: InFlight) {
        self.flights.insert(flight.attempt.id, flight);
    }

    /// Returns the request of a try, if it is the current one. News of an earlier try is stale.
    pub fn current(&mut self, attempt: Attempt) -> Option<&mut InFlight> {
        self.flights
            .get_mut(&attempt.id)
            .filter(|f| f.attempt == attempt)
    }

    /// Takes out the request of a try, if it is the current one.
    pub fn take(&mut self, attempt: Attempt) -> Option<InFlight> {
        self.current(attempt)?;
        self.flights.remove(&attempt.id)
    }

    /// Takes out a request, whatever its current try.
    pub fn remove(&mut self, id: RequestId) -> Option<InFlight> {
        self.flights.remove(&id)
    }

    /// Returns the requests in flight at a server.
    pub fn at<'a>(&'a self, server: &'a ServerId) -> impl Iterator<Item = &'a InFlight> {
        self.flights.values().filter(move |f| f.server == *server)
    }
}
