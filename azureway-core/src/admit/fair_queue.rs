//! A queue of requests of one rank that is fair between client accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{BlockedClasses, QueuedRequest, ServiceClass};
use crate::domain::{AccountId, Rank, RequestId, Timestamp};

/// The sort key of a request in its class: its start tag, then its identifier.
type OrderKey = (u64, RequestId);

/// A start-time fair queue of requests of one rank, by their cost in tokens.
///
/// Each request advances the finish tag of its account by its cost over the account's weight.
/// The request with the smallest start tag goes first, so an account with far more demand than
/// the others delays only its own requests. Each class keeps its own order under the same
/// tags, so that a blocked class is skipped in one step.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: u64,
    finish_tags: HashMap<AccountId, u64>,
    classes: BTreeMap<ServiceClass, BTreeMap<OrderKey, QueuedRequest>>,
    positions: HashMap<RequestId, (ServiceClass, u64)>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    backlog: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the cost of all queued requests, in tokens.
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Returns the start tag that a new request of `account` would get.
    pub fn start_tag_for(&self, account: &AccountId) -> u64 {
        // An idle account starts at the current virtual time: it earns no credit for the past.
        let last = self.finish_tags.get(account).copied().unwrap_or(0);
        last.max(self.virtual_time)
    }

    /// Returns a lower bound of the tokens ahead of a new request of `account`. It adds up, over
    /// all accounts, the work whose tags precede the start tag of the request.
    pub fn tokens_ahead(&self, account: &AccountId) -> u64 {
        let start = self.start_tag_for(account);
        let ahead = |finish: &u64| (*finish).min(start).saturating_sub(self.virtual_time);
        let sum: u64 = self.finish_tags.values().map(ahead).sum();
        sum.min(self.backlog)
    }

    /// Adds a request and sets its start tag.
    pub fn push(&mut self, mut queued: QueuedRequest) {
        let account = queued.request.account.clone();
        queued.start_tag = self.start_tag_for(&account);
        self.finish_tags
            .insert(account, queued.start_tag + queued.weighted_cost());
        self.backlog += queued.request.cost().get();
        let (id, class) = (queued.request.id, ServiceClass::of(&queued.request));
        self.deadlines
            .insert((queued.request.deadline.timestamp(), id));
        self.positions.insert(id, (class.clone(), queued.start_tag));
        let order = self.classes.entry(class).or_default();
        order.insert((queued.start_tag, id), queued);
    }

    /// Returns the request with the smallest start tag among the classes that are not blocked.
    pub fn peek(&self, rank: Rank, blocked: &BlockedClasses) -> Option<&QueuedRequest> {
        let open = self
            .classes
            .iter()
            .filter(|(c, _)| !blocked.contains(rank, c));
        let heads = open.filter_map(|(_, order)| order.first_key_value());
        heads.min_by_key(|(key, _)| **key).map(|(_, q)| q)
    }

    /// Removes a request that is served now, and advances the virtual time.
    pub fn take(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let queued = self.extract(id)?;
        self.virtual_time = self.virtual_time.max(queued.start_tag);
        if self.is_empty() {
            // A finish tag that is not after the virtual time no longer affects any start tag.
            self.finish_tags
                .retain(|_, finish| *finish > self.virtual_time);
        }
        Some(queued)
    }

    /// Removes a request that is not served, and takes its cost off its account's finish tag.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let queued = self.extract(id)?;
        if let Some(finish) = self.finish_tags.get_mut(&queued.request.account) {
            *finish = finish.saturating_sub(queued.weighted_cost());
        }
        Some(queued)
    }

    /// Removes and returns every request whose deadline is before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline >= now {
                break;
            }
            expired.extend(self.remove(id));
        }
        expired
    }

    /// Removes and returns every request for which `removed` is true.
    pub fn remove_if(&mut self, removed: &impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let queued = self.classes.values().flat_map(BTreeMap::values);
        let ids = queued.filter(|q| removed(q)).map(|q| q.request.id);
        let ids: Vec<_> = ids.collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the earliest deadline of the queued requests.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn extract(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (class, start) = self.positions.remove(&id)?;
        let order = self.classes.get_mut(&class)?;
        let queued = order.remove(&(start, id))?;
        if order.is_empty() {
            self.classes.remove(&class);
        }
        self.backlog -= queued.request.cost().get();
        self.deadlines
            .remove(&(queued.request.deadline.timestamp(), id));
        Some(queued)
    }
}
