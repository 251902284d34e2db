//! The order over both ranks for one pool.

use std::time::Duration;

use super::{BlockedClasses, FairQueue, QueuedRequest, ServiceRate};
use crate::domain::{Rank, Request, RequestId, Timestamp};

/// The requests that wait for one pool: urgent work first, with a floor for drafting.
///
/// A request is looked at with [`PoolQueue::peek`] and leaves only with [`PoolQueue::take`],
/// once a backend server has been found, so that nothing has to be put back.
#[derive(Debug, Default)]
pub struct PoolQueue {
    queues: [FairQueue; 2],
    floor: u8,
    /// What drafting is owed, in hundredths of a token.
    credit: u64,
    pace: ServiceRate,
}

/// The whole, in percent.
const WHOLE: u64 = 100;
/// The most that drafting can be owed, in hundredths of a token, unless its first request
/// costs more.
const CREDIT_MAX: u64 = 10_000_000;

impl PoolQueue {
    /// Creates an empty order in which drafting keeps `floor` percent of the work.
    pub fn new(floor: u8) -> Self {
        Self {
            queues: Default::default(),
            floor: floor.min(99),
            credit: 0,
            pace: ServiceRate::new(),
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

    /// Returns the tokens that go before `request` at least.
    pub fn tokens_ahead(&self, request: &Request) -> u64 {
        let own = self.queues[request.rank.index()].tokens_ahead(&request.account);
        match request.rank {
            Rank::Urgent => own,
            Rank::Drafting => {
                // Of what drafting waits for, urgent work is at most the rest of the floor.
                let urgent = self.queues[Rank::Urgent.index()].backlog();
                let floor = u64::from(self.floor);
                let share = (own * (WHOLE - floor)).checked_div(floor);
                own + share.map_or(urgent, |s| s.min(urgent))
            }
        }
    }

    /// Returns the time for which `request` would wait at least, if that is known.
    pub fn expected_wait(&self, request: &Request, now: Timestamp) -> Option<Duration> {
        match self.tokens_ahead(request) {
            0 => None,
            tokens => self.pace.time_for(tokens, now),
        }
    }

    /// Adds a request at `now`.
    pub fn push(&mut self, mut queued: QueuedRequest, now: Timestamp) {
        queued.queued_at = now;
        if self.is_empty() {
            self.pace.begin(now);
        }
        self.queues[queued.request.rank.index()].push(queued);
    }

    /// Returns the request that goes next among the classes that are not blocked.
    pub fn peek(&self, blocked: &BlockedClasses) -> Option<&QueuedRequest> {
        let drafting = self.first(Rank::Drafting, blocked);
        let owed = drafting.filter(|q| self.has_credit(&q.request));
        owed.or_else(|| self.first(Rank::Urgent, blocked))
            .or(drafting)
    }

    /// Tells whether the floor grants `request` its place, whatever urgent work waits.
    pub fn has_credit(&self, request: &Request) -> bool {
        request.rank == Rank::Drafting && self.credit >= self.price(request)
    }

    /// Takes out a request that is served at `now`.
    pub fn take(&mut self, id: RequestId, now: Timestamp) -> Option<QueuedRequest> {
        let queued = self.queues.iter_mut().find_map(|q| q.take(id))?;
        let cost = queued.request.cost().get();
        if queued.queued_at < now {
            self.pace.take(cost, now);
        }
        match queued.request.rank {
            Rank::Urgent if self.depth(Rank::Drafting) > 0 => self.earn(cost),
            Rank::Urgent => self.credit = 0,
            Rank::Drafting => {
                let price = self.price(&queued.request);
                self.credit = self.credit.saturating_sub(price);
            }
        }
        Some(queued)
    }

    /// Takes out a request that is not served.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        self.queues.iter_mut().find_map(|q| q.remove(id))
    }

    /// Takes out every request whose deadline lies before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        self.queues.iter_mut().flat_map(|q| q.expire(now)).collect()
    }

    /// Returns the earliest deadline of the requests that wait.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.queues
            .iter()
            .filter_map(FairQueue::next_deadline)
            .min()
    }

    fn first(&self, rank: Rank, blocked: &BlockedClasses) -> Option<&QueuedRequest> {
        self.queues[rank.index()].peek(rank, blocked)
    }

    /// Notes what drafting is owed when urgent work of `cost` goes first.
    fn earn(&mut self, cost: u64) {
        let first = self.first(Rank::Drafting, &BlockedClasses::new());
        let bound = CREDIT_MAX.max(first.map_or(0, |q| self.price(&q.request)));
        let earned = cost * u64::from(self.floor);
        self.credit = (self.credit + earned).min(bound);
    }

    /// Returns what drafting pays of what it is owed: for each part that it keeps, urgent work
    /// must have got the rest.
    fn price(&self, request: &Request) -> u64 {
        request.cost().get() * (WHOLE - u64::from(self.floor))
    }
}
