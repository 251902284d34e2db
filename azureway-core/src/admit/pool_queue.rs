//! Orders the requests of both ranks that wait for one pool.

use std::time::Duration;

use super::{BlockedClasses, FairQueue, QueuedRequest, ServiceRate};
use crate::domain::{Rank, Request, RequestId, Timestamp};

/// The queue of one pool: urgent requests first, with a guaranteed share for drafting.
///
/// [`PoolQueue::peek`] returns the next request, which stays queued until
/// [`PoolQueue::take`] removes it once a backend server has been found. No request is ever
/// put back.
#[derive(Debug, Default)]
pub struct PoolQueue {
    queues: [FairQueue; 2],
    drafting_share: u8,
    /// The credit of drafting, in hundredths of a token.
    credit: u64,
    rate: ServiceRate,
}

/// All of the work, in percent.
const ALL_PERCENT: u64 = 100;
/// The most credit that drafting accumulates, in hundredths of a token, unless its first
/// request costs more.
const MAX_CREDIT: u64 = 10_000_000;

impl PoolQueue {
    /// Creates an empty queue that guarantees drafting `drafting_share` percent of the work.
    pub fn new(drafting_share: u8) -> Self {
        Self {
            queues: Default::default(),
            drafting_share: drafting_share.min(99),
            credit: 0,
            rate: ServiceRate::new(),
        }
    }

    /// Sets the guaranteed share of drafting, in percent.
    pub fn set_drafting_share(&mut self, drafting_share: u8) {
        self.drafting_share = drafting_share.min(99);
    }

    /// Returns the number of queued requests of all ranks.
    pub fn len(&self) -> usize {
        self.queues.iter().map(FairQueue::len).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }

    /// Returns the number of queued requests of `rank`.
    pub fn depth(&self, rank: Rank) -> usize {
        self.queues[rank.index()].len()
    }

    /// Returns a lower bound of the tokens ahead of `request`.
    pub fn tokens_ahead(&self, request: &Request) -> u64 {
        let same_rank = self.queues[request.rank.index()].tokens_ahead(&request.account);
        match request.rank {
            Rank::Urgent => same_rank,
            Rank::Drafting => {
                // Urgent work delays drafting by at most the share that is not guaranteed to it.
                let urgent = self.queues[Rank::Urgent.index()].backlog();
                let drafting_share = u64::from(self.drafting_share);
                let share =
                    (same_rank * (ALL_PERCENT - drafting_share)).checked_div(drafting_share);
                same_rank + share.map_or(urgent, |s| s.min(urgent))
            }
        }
    }

    /// Returns the least time for which `request` would wait, if it is known.
    pub fn expected_wait(&self, request: &Request, now: Timestamp) -> Option<Duration> {
        match self.tokens_ahead(request) {
            0 => None,
            tokens => self.rate.time_for(tokens, now),
        }
    }

    /// Adds a request that is queued at `now`.
    pub fn push(&mut self, mut queued: QueuedRequest, now: Timestamp) {
        queued.queued_at = now;
        if self.is_empty() {
            self.rate.start(now);
        }
        self.queues[queued.request.rank.index()].push(queued);
    }

    /// Returns the next request to be served among the classes that are not blocked.
    pub fn peek(&self, blocked: &BlockedClasses) -> Option<&QueuedRequest> {
        let drafting = self.peek_rank(Rank::Drafting, blocked);
        let guaranteed = drafting.filter(|q| self.has_credit(&q.request));
        guaranteed
            .or_else(|| self.peek_rank(Rank::Urgent, blocked))
            .or(drafting)
    }

    /// Returns whether `request` is a drafting request that the credit of drafting pays for, and
    /// so goes ahead of urgent requests.
    pub fn has_credit(&self, request: &Request) -> bool {
        request.rank == Rank::Drafting && self.credit >= self.credit_cost(request)
    }

    /// Removes a request that is served at `now`.
    pub fn take(&mut self, id: RequestId, now: Timestamp) -> Option<QueuedRequest> {
        let queued = self.queues.iter_mut().find_map(|q| q.take(id))?;
        let cost = queued.request.cost().get();
        if queued.queued_at < now {
            self.rate.record(cost, now);
        }
        match queued.request.rank {
            Rank::Urgent if self.depth(Rank::Drafting) > 0 => self.earn_credit(cost),
            Rank::Urgent => self.credit = 0,
            Rank::Drafting => {
                let spent = self.credit_cost(&queued.request);
                self.credit = self.credit.saturating_sub(spent);
            }
        }
        Some(queued)
    }

    /// Removes a request that is not served.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        self.queues.iter_mut().find_map(|q| q.remove(id))
    }

    /// Removes and returns every request for which `removed` is true.
    pub fn remove_if(&mut self, removed: &impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let queues = self.queues.iter_mut();
        queues.flat_map(|q| q.remove_if(removed)).collect()
    }

    /// Removes and returns every request whose deadline is before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        self.queues.iter_mut().flat_map(|q| q.expire(now)).collect()
    }

    /// Returns the earliest deadline of the queued requests.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.queues
            .iter()
            .filter_map(FairQueue::next_deadline)
            .min()
    }

    fn peek_rank(&self, rank: Rank, blocked: &BlockedClasses) -> Option<&QueuedRequest> {
        self.queues[rank.index()].peek(rank, blocked)
    }

    /// Adds the credit that drafting earns when an urgent request of `cost` tokens is served
    /// while drafting requests are queued.
    fn earn_credit(&mut self, cost: u64) {
        let first = self.peek_rank(Rank::Drafting, &BlockedClasses::new());
        let bound = MAX_CREDIT.max(first.map_or(0, |q| self.credit_cost(&q.request)));
        let earned = cost * u64::from(self.drafting_share);
        self.credit = (self.credit + earned).min(bound);
    }

    /// Returns the credit that a drafting request costs, in hundredths of a token. With a share
    /// of `s` percent, urgent work earns `s` per token and drafting pays `100 - s` per token.
    fn credit_cost(&self, request: &Request) -> u64 {
        request.cost().get() * (ALL_PERCENT - u64::from(self.drafting_share))
    }
}
