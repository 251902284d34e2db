//! A route from callers' paths to services.

use std::time::Duration;

use smallvec::SmallVec;

use super::{ClientAccount, Rank, RequestKind, RouteId, ServiceId};

/// A route: which requests it takes, the services behind it and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name.
    pub id: RouteId,
    /// The host that callers name.
    pub host: Box<str>,
    /// What the path begins with.
    pub prefix: Box<str>,
    /// The services behind it with their weights.
    pub splits: SmallVec<[(ServiceId, u32); 2]>,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// Whether its answers are streams of events.
    pub streamed: bool,
    /// Whether no API key is asked for.
    pub public: bool,
    /// The rank of its requests.
    pub rank: Rank,
    /// The priority; lower goes first.
    pub priority: u8,
    /// The backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// The time in which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
}

/// The priorities of routes that are told apart within one priority of an account. Backend
/// servers know ten priorities, which leaves three accounts' priorities three each.
const ROUTE_PRIORITIES: u8 = 3;

impl Route {
    /// Chooses a service by weight. `seed` differs between requests.
    pub fn choose_service(&self, seed: u64) -> Option<&ServiceId> {
        let total: u64 = self.splits.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut place = seed.checked_rem(total)?;
        for (service, weight) in &self.splits {
            let weight = u64::from(*weight);
            if place < weight {
                return Some(service);
            }
            place -= weight;
        }
        None
    }

    /// Returns the priority that backend servers are told for a request of `account`; lower goes
    /// first. The account's goes before the route's.
    pub fn precedence(&self, account: &ClientAccount) -> u8 {
        let own = self.priority.min(ROUTE_PRIORITIES - 1);
        let first = account.priority.map_or(own, |(_, priority)| priority);
        first.saturating_mul(ROUTE_PRIORITIES).saturating_add(own)
    }
}
