//! Tracks the queues of all pools, and which of them may have a request to dispatch.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::admit::{BlockedClasses, PoolQueue, QueuedRequest};
use crate::domain::{PoolId, Rank, Request, RequestId, Timestamp};

/// The queued requests, with one queue for each pool.
///
/// A pool is marked as dirty when a change may allow one of its requests to be dispatched.
#[derive(Debug, Default)]
pub struct Queues {
    pools: BTreeMap<PoolId, PoolQueue>,
    request_pools: HashMap<RequestId, PoolId>,
    dirty: BTreeSet<PoolId>,
    drafting_share: u8,
}

impl Queues {
    /// Creates a set without queues.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the guaranteed share of drafting work, in percent.
    pub fn set_drafting_share(&mut self, percent: u8) {
        self.drafting_share = percent;
        self.pools
            .values_mut()
            .for_each(|q| q.set_drafting_share(percent));
    }

    /// Marks a pool as dirty if it has queued requests.
    pub fn mark_dirty(&mut self, pool: &PoolId) {
        if self.pool_len(pool) > 0 {
            self.dirty.insert(pool.clone());
        }
    }

    /// Marks every pool with queued requests as dirty.
    pub fn mark_all_dirty(&mut self) {
        let waiting = self.pools.iter().filter(|(_, q)| !q.is_empty());
        self.dirty.extend(waiting.map(|(p, _)| p.clone()));
    }

    /// Removes and returns a dirty pool.
    pub fn pop_dirty(&mut self) -> Option<PoolId> {
        self.dirty.pop_first()
    }

    /// Returns the queue of a pool.
    pub fn get(&self, pool: &PoolId) -> Option<&PoolQueue> {
        self.pools.get(pool)
    }

    /// Returns the number of queued requests of a pool.
    pub fn pool_len(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, PoolQueue::len)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.request_pools.len()
    }

    /// Returns the number of queued requests of `rank`.
    pub fn depth(&self, rank: Rank) -> usize {
        self.pools.values().map(|q| q.depth(rank)).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.request_pools.is_empty()
    }

    /// Adds a request at `now` and marks its pool as dirty.
    pub fn push(&mut self, pool: PoolId, queued: QueuedRequest, now: Timestamp) {
        let drafting_share = self.drafting_share;
        self.request_pools.insert(queued.request.id, pool.clone());
        self.dirty.insert(pool.clone());
        let queue = self
            .pools
            .entry(pool)
            .or_insert_with(|| PoolQueue::new(drafting_share));
        queue.push(queued, now);
    }

    /// Returns the next request of a pool outside the blocked classes, and whether it is due by
    /// the guaranteed share of drafting work.
    pub fn peek(&self, pool: &PoolId, blocked: &BlockedClasses) -> Option<(&QueuedRequest, bool)> {
        let queue = self.pools.get(pool)?;
        let queued = queue.peek(blocked)?;
        Some((queued, queue.has_credit(&queued.request)))
    }

    /// Removes a request that is served at `now`.
    pub fn take(&mut self, id: RequestId, now: Timestamp) -> Option<QueuedRequest> {
        let pool = self.request_pools.remove(&id)?;
        self.pools.get_mut(&pool)?.take(id, now)
    }

    /// Removes a request that is not served.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let pool = self.request_pools.remove(&id)?;
        let queued = self.pools.get_mut(&pool)?.remove(id);
        queued.map(|q| q.request)
    }

    /// Removes and returns every request for which `removed` is true.
    pub fn remove_if(&mut self, removed: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let pools = self.pools.values_mut();
        let taken: Vec<_> = pools.flat_map(|q| q.remove_if(&removed)).collect();
        for queued in &taken {
            self.request_pools.remove(&queued.request.id);
        }
        taken
    }

    /// Removes every request whose deadline is before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Request> {
        let late: Vec<_> = self
            .pools
            .values_mut()
            .flat_map(|q| q.expire(now))
            .collect();
        let requests = late.into_iter().map(|q| q.request);
        requests
            .inspect(|r| drop(self.request_pools.remove(&r.id)))
            .collect()
    }

    /// Returns the earliest arrival among the next requests of all pools.
    pub fn earliest_arrival(&self) -> Option<Timestamp> {
        let open = BlockedClasses::new();
        let heads = self.pools.values().filter_map(|q| q.peek(&open));
        heads.map(|q| q.request.arrived).min()
    }

    /// Returns the earliest deadline of the queued requests.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.pools
            .values()
            .filter_map(PoolQueue::next_deadline)
            .min()
    }
}
