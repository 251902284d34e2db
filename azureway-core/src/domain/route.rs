//! The routes that map the hosts and paths of requests to services.

use std::time::Duration;

use smallvec::SmallVec;

use super::{ClientAccount, Rank, RequestKind, RouteId, ServiceId};

/// A route: the requests that it matches, the services behind it and how requests are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub id: RouteId,
    /// The host that matching requests name.
    pub host: Box<str>,
    /// The prefix that the paths of matching requests start with.
    pub prefix: Box<str>,
    /// The services behind the route, each with its weight in the traffic split.
    pub splits: SmallVec<[(ServiceId, u32); 2]>,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// Whether answers are event streams.
    pub streamed: bool,
    /// Whether requests need no API key.
    pub public: bool,
    /// The rank of the requests.
    pub rank: Rank,
    /// The priority; lower values go first.
    pub priority: u8,
    /// The largest number of attempts for one request, each at a backend server.
    pub max_attempts: u32,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
}

/// The number of route priorities that are distinguished within one account priority. Backend
/// servers have ten priorities, which leaves three for each of three account priorities.
const ROUTE_PRIORITIES: u8 = 3;

impl Route {
    /// Returns a service chosen in proportion to the weights, or `None` if they sum to zero.
    /// `seed` must differ between requests.
    pub fn choose_service(&self, seed: u64) -> Option<&ServiceId> {
        let total: u64 = self.splits.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut offset = seed.checked_rem(total)?;
        for (service, weight) in &self.splits {
            let weight = u64::from(*weight);
            if offset < weight {
                return Some(service);
            }
            offset -= weight;
        }
        None
    }

    /// Returns the priority that backend servers receive for a request of `account`; lower values
    /// go first. The account's priority takes precedence over the route's.
    pub fn precedence(&self, account: &ClientAccount) -> u8 {
        let minor = self.priority.min(ROUTE_PRIORITIES - 1);
        let major = account.priority.map_or(minor, |(_, priority)| priority);
        major.saturating_mul(ROUTE_PRIORITIES).saturating_add(minor)
    }
}
