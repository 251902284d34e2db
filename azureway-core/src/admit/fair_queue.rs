//! Requests of one rank in an order that is fair between client accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{BlockedClasses, QueuedRequest, ServiceClass};
use crate::domain::{AccountId, Rank, RequestId, Timestamp};

/// The place of a request in its class: its virtual start, then its identity.
type Place = (u64, RequestId);

/// Requests of one rank, in start-time fair order by their cost in tokens.
///
/// Each account has a virtual clock that its requests push on by cost over weight. The
/// request with the least virtual start goes first, so an account that asks for far more
/// than the rest waits behind its own work and not before theirs. Each class has an order of
/// its own under the same clocks, so that a blocked class is passed over in one step.
#[derive(Debug, Default)]
pub struct FairQueue {
    clock: u64,
    finish: HashMap<AccountId, u64>,
    classes: BTreeMap<ServiceClass, BTreeMap<Place, QueuedRequest>>,
    places: HashMap<RequestId, (ServiceClass, u64)>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    backlog: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the cost of all requests that wait, in tokens.
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Returns the virtual start that a request of `account` would be given.
    pub fn start_tag_for(&self, account: &AccountId) -> u64 {
        // An account that was idle starts now: it saves up no claim on the past.
        let last = self.finish.get(account).copied().unwrap_or(0);
        last.max(self.clock)
    }

    /// Returns the tokens that go before a request of `account` at least: of each account,
    /// what starts before it.
    pub fn tokens_ahead(&self, account: &AccountId) -> u64 {
        let start = self.start_tag_for(account);
        let ahead = |finish: &u64| (*finish).min(start).saturating_sub(self.clock);
        let sum: u64 = self.finish.values().map(ahead).sum();
        sum.min(self.backlog)
    }

    /// Adds a request.
    pub fn push(&mut self, mut queued: QueuedRequest) {
        let account = queued.request.account.clone();
        queued.start_tag = self.start_tag_for(&account);
        self.finish
            .insert(account, queued.start_tag + queued.weighted_cost());
        self.backlog += queued.request.cost().get();
        let (id, class) = (queued.request.id, ServiceClass::of(&queued.request));
        self.deadlines
            .insert((queued.request.deadline.timestamp(), id));
        self.places.insert(id, (class.clone(), queued.start_tag));
        let order = self.classes.entry(class).or_default();
        order.insert((queued.start_tag, id), queued);
    }

    /// Returns the request that goes first among the classes that are not blocked.
    pub fn peek(&self, rank: Rank, blocked: &BlockedClasses) -> Option<&QueuedRequest> {
        let open = self
            .classes
            .iter()
            .filter(|(l, _)| !blocked.contains(rank, l));
        let heads = open.filter_map(|(_, order)| order.first_key_value());
        heads.min_by_key(|(place, _)| **place).map(|(_, q)| q)
    }

    /// Takes out a request that is served now.
    pub fn take(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let queued = self.pull(id)?;
        self.clock = self.clock.max(queued.start_tag);
        if self.is_empty() {
            // Nothing waits, so no account is behind another: the clocks can be dropped.
            self.finish.retain(|_, finish| *finish > self.clock);
        }
        Some(queued)
    }

    /// Takes out a request that is not served, and gives its account the charge back.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let queued = self.pull(id)?;
        if let Some(finish) = self.finish.get_mut(&queued.request.account) {
            *finish = finish.saturating_sub(queued.weighted_cost());
        }
        Some(queued)
    }

    /// Takes out every request whose deadline lies before `now`.
    pub fn expire(&mut self, now: Timestamp) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline >= now {
                break;
            }
            late.extend(self.remove(id));
        }
        late
    }

    /// Returns the earliest deadline of the requests that wait.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn pull(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (class, start) = self.places.remove(&id)?;
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
