//! The requests that wait, by pool.

use std::collections::BTreeMap;

use crate::admit::{Admission, Queued};
use crate::domain::{PoolId, Request, RequestId, Timestamp};

/// The requests that wait, in one order for each pool.
#[derive(Debug, Default)]
pub struct Queues {
    pools: BTreeMap<PoolId, Admission>,
    floor: u8,
}

impl Queues {
    /// Creates empty queues.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the share of drafting, in percent.
    pub fn set_floor(&mut self, floor: u8) {
        self.floor = floor;
        self.pools.values_mut().for_each(|q| q.set_floor(floor));
    }

    /// Returns the pools for which a request has waited.
    pub fn pools(&self) -> Vec<PoolId> {
        self.pools.keys().cloned().collect()
    }

    /// Returns the number of requests that wait for a pool.
    pub fn len_of(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, Admission::len)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.pools.values().map(Admission::len).sum()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.pools.values().all(Admission::is_empty)
    }

    /// Adds a request of an account with `weight`.
    pub fn push(&mut self, pool: PoolId, request: Request, weight: u32) {
        self.pool(pool).push(request, weight);
    }

    /// Takes the request that goes next at a pool.
    pub fn pop(&mut self, pool: &PoolId) -> Option<Queued> {
        self.pools.get_mut(pool)?.pop()
    }

    /// Puts a request back that was taken but could not be served yet.
    pub fn restore(&mut self, pool: &PoolId, queued: Queued) {
        self.pool(pool.clone()).restore(queued);
    }

    /// Takes a request out, wherever it waits.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.pools.values_mut().find_map(|q| q.remove(id))
    }

    /// Takes out every request whose deadline lies before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Request> {
        self.pools
            .values_mut()
            .flat_map(|q| q.expire(now))
            .collect()
    }

    /// Returns the earliest deadline of the requests that wait.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.pools.values().filter_map(Admission::earliest).min()
    }

    fn pool(&mut self, pool: PoolId) -> &mut Admission {
        let floor = self.floor;
        self.pools
            .entry(pool)
            .or_insert_with(|| Admission::new(floor))
    }
}
