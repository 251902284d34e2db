//! The order over both ranks for one pool.

use super::{FairQueue, Queued};
use crate::domain::{Rank, Request, RequestId, Timestamp};

/// The requests that wait for one pool: urgent work first, with a floor for drafting.
#[derive(Debug, Default)]
pub struct Admission {
    queues: [FairQueue; 2],
    floor: u8,
    credit: u64,
}

/// The whole, in percent.
const WHOLE: u64 = 100;

impl Admission {
    /// Creates an empty order in which drafting keeps `floor` percent of the work.
    pub fn new(floor: u8) -> Self {
        Self {
            queues: Default::default(),
            floor: floor.min(99),
            credit: 0,
        }
    }

    /// Sets the share of drafting, in percent.
    pub fn set_floor(&mut self, floor: u8) {
        self.floor = floor.min(99);
    }

    /// Returns the number of requests of all ranks that wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(FairQueue::len).sum()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }

    /// Returns the number of requests of `rank` that wait.
    pub fn depth(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Adds a request of an account with `weight`.
    pub fn push(&mut self, request: Request, weight: u32) {
        self.queues[request.rank.index()].push(request, weight);
    }

    /// Puts a request back that was taken but could not be served yet.
    pub fn restore(&mut self, queued: Queued) {
        let cost = queued.request.cost().get();
        match queued.request.rank {
            Rank::Urgent => self.credit = self.credit.saturating_sub(self.earned(cost)),
            Rank::Drafting => self.credit += cost,
        }
        self.queues[queued.request.rank.index()].restore(queued);
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<Queued> {
        let rank = self.next_rank()?;
        let queued = self.queues[rank.index()].pop()?;
        let cost = queued.request.cost().get();
        match rank {
            Rank::Urgent if self.depth(Rank::Drafting) > 0 => self.credit += self.earned(cost),
            Rank::Urgent => self.credit = 0,
            Rank::Drafting => self.credit = self.credit.saturating_sub(cost),
        }
        Some(queued)
    }

    /// Takes a request out of the order.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.queues.iter_mut().find_map(|q| q.remove(id))
    }

    /// Takes out every request whose deadline lies before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Request> {
        self.queues.iter_mut().flat_map(|q| q.expire(now)).collect()
    }

    /// Returns the earliest deadline of the requests that wait.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.queues.iter().filter_map(FairQueue::earliest).min()
    }

    fn next_rank(&self) -> Option<Rank> {
        let drafting = self.queues[Rank::Drafting.index()].peek();
        if drafting.is_some_and(|r| self.credit >= r.cost().get()) {
            return Some(Rank::Drafting);
        }
        Rank::ALL.into_iter().find(|r| self.depth(*r) > 0)
    }

    /// Returns what drafting earns when urgent work of `cost` goes first.
    fn earned(&self, cost: u64) -> u64 {
        let floor = u64::from(self.floor);
        cost * floor / (WHOLE - floor)
    }
}
