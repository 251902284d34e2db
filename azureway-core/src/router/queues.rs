//! The requests that wait, by pool.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::admit::{BlockedClasses, PoolQueue, QueuedRequest};
use crate::domain::{PoolId, Rank, Request, RequestId, Timestamp};

/// The requests that wait, in one order for each pool.
///
/// A pool is marked when something changed that may let a request of it go.
#[derive(Debug, Default)]
pub struct Queues {
    pools: BTreeMap<PoolId, PoolQueue>,
    pool_of: HashMap<RequestId, PoolId>,
    marked: BTreeSet<PoolId>,
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
        self.pools
            .values_mut()
            .for_each(|q| q.set_drafting_share(floor));
    }

    /// Marks a pool, if a request waits for it.
    pub fn mark(&mut self, pool: &PoolId) {
        if self.len_of(pool) > 0 {
            self.marked.insert(pool.clone());
        }
    }

    /// Marks every pool for which a request waits.
    pub fn mark_all(&mut self) {
        let waiting = self.pools.iter().filter(|(_, q)| !q.is_empty());
        self.marked.extend(waiting.map(|(p, _)| p.clone()));
    }

    /// Takes a marked pool.
    pub fn next_marked(&mut self) -> Option<PoolId> {
        self.marked.pop_first()
    }

    /// Returns the order of a pool.
    pub fn get(&self, pool: &PoolId) -> Option<&PoolQueue> {
        self.pools.get(pool)
    }

    /// Returns the number of requests that wait for a pool.
    pub fn len_of(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, PoolQueue::len)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.pool_of.len()
    }

    /// Returns the number of requests of `rank` that wait.
    pub fn depth(&self, rank: Rank) -> usize {
        self.pools.values().map(|q| q.depth(rank)).sum()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.pool_of.is_empty()
    }

    /// Adds a request at `now` and marks its pool.
    pub fn push(&mut self, pool: PoolId, queued: QueuedRequest, now: Timestamp) {
        let floor = self.floor;
        self.pool_of.insert(queued.request.id, pool.clone());
        self.marked.insert(pool.clone());
        let order = self
            .pools
            .entry(pool)
            .or_insert_with(|| PoolQueue::new(floor));
        order.push(queued, now);
    }

    /// Returns the request that goes next at a pool, and whether the floor grants its place.
    pub fn peek(&self, pool: &PoolId, blocked: &BlockedClasses) -> Option<(&QueuedRequest, bool)> {
        let order = self.pools.get(pool)?;
        let queued = order.peek(blocked)?;
        Some((queued, order.has_credit(&queued.request)))
    }

    /// Takes out a request that is served at `now`.
    pub fn take(&mut self, id: RequestId, now: Timestamp) -> Option<QueuedRequest> {
        let pool = self.pool_of.remove(&id)?;
        self.pools.get_mut(&pool)?.take(id, now)
    }

    /// Takes out a request that is not served.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let pool = self.pool_of.remove(&id)?;
        let queued = self.pools.get_mut(&pool)?.remove(id);
        queued.map(|q| q.request)
    }

    /// Takes out every request whose deadline lies before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Request> {
        let late: Vec<_> = self
            .pools
            .values_mut()
            .flat_map(|q| q.expire(now))
            .collect();
        let requests = late.into_iter().map(|q| q.request);
        requests
            .inspect(|r| drop(self.pool_of.remove(&r.id)))
            .collect()
    }

    /// Returns the earliest arrival of the requests that go next.
    pub fn oldest(&self) -> Option<Timestamp> {
        let open = BlockedClasses::new();
        let heads = self.pools.values().filter_map(|q| q.peek(&open));
        heads.map(|q| q.request.arrived).min()
    }

    /// Returns the earliest deadline of the requests that wait.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.pools
            .values()
            .filter_map(PoolQueue::next_deadline)
            .min()
    }
}
