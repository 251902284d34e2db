//! The fleet that one version of the configuration defines.

use std::collections::BTreeMap;

use super::RouteTable;
use crate::cache::Salt;
use crate::domain::{
    AccountId, AvailabilityZone, BackendServer, BackendServerPool, CallerLimits, ClientAccount,
    ConfigVersion, KeyHash, ModelService, PoolId, Rank, RankRules, Route, ServerId, ServiceId,
    ServiceKind, Timestamp, WeightsVersion, ZoneId,
};

/// The accounts, services, servers and rules of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The client accounts by identifier.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// The services by identifier.
    pub services: BTreeMap<ServiceId, ModelService>,
    /// The backend server pools by identifier.
    pub pools: BTreeMap<PoolId, BackendServerPool>,
    /// The backend servers by identifier.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// The time until which the platform's list of the servers is complete; zero if nothing is known of it.
    pub listed_until: Timestamp,
    /// The time at which the latest of its changes was noticed; zero if it is not known.
    pub noticed: Timestamp,
    /// The availability zones and the region of each; empty if no regions are configured.
    pub zones: BTreeMap<ZoneId, AvailabilityZone>,
    /// The rules for urgent and drafting requests.
    pub rules: RankRules,
    /// The routes, if callers are routed by host and path.
    pub routes: RouteTable,
    /// The size and time limits on what callers send.
    pub limits: CallerLimits,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a client account.
    #[must_use]
    pub fn with_account(mut self, account: ClientAccount) -> Self {
        self.accounts.insert(account.id.clone(), account);
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: ModelService) -> Self {
        self.services.insert(service.id.clone(), service);
        self
    }

    /// Adds a pool.
    #[must_use]
    pub fn with_pool(mut self, pool: BackendServerPool) -> Self {
        self.pools.insert(pool.id.clone(), pool);
        self
    }

    /// Adds a backend server.
    #[must_use]
    pub fn with_server(mut self, server: BackendServer) -> Self {
        self.servers.insert(server.id.clone(), server);
        self
    }

    /// Adds an availability zone.
    #[must_use]
    pub fn with_zone(mut self, zone: AvailabilityZone) -> Self {
        self.zones.insert(zone.id.clone(), zone);
        self
    }

    /// Sets the version of the configuration.
    #[must_use]
    pub fn with_version(mut self, version: ConfigVersion) -> Self {
        self.version = version;
        self
    }

    /// Returns whether servers of this fleet that take requests leave or are gone in `next`.
    pub fn loses_servers(&self, next: &Self) -> bool {
        let stays = |id| next.servers.get(id).is_some_and(|s| !s.leaving);
        let mut present = self.servers.values().filter(|s| !s.leaving);
        present.any(|s| !stays(&s.id))
    }

    /// Returns whether two availability zones are in the same region. All zones that the
    /// configuration does not name count as one further region.
    pub fn share_region(&self, one: &ZoneId, other: &ZoneId) -> bool {
        let region = |zone| self.zones.get(zone).map(|z| &z.region);
        region(one) == region(other)
    }

    /// Returns whether the configuration assigns zones to regions.
    pub fn has_regions(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Returns whether `service` is a configured service of the plain kind.
    pub fn is_plain(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| s.kind == ServiceKind::Plain)
    }

    /// Returns the salt of the cached blocks that an account uses at a service where accounts share
    /// them, unless they are isolated.
    pub fn shared_salt(&self, account: &AccountId, service: &ServiceId) -> Salt {
        match self.accounts.get(account) {
            Some(account) if !account.isolated => {
                let isolated = self.accounts.values().filter(|a| a.isolated);
                Salt::shared(service, isolated.map(|a| &a.id))
            }
            _ => Salt::new(account, service, WeightsVersion::ZERO),
        }
    }

    /// Returns the rank of an account's requests on a route.
    ///
    /// The account's priority takes precedence over the route's. Among the accounts with the highest
    /// priority the route decides, unless other accounts come after them and the rank of their own is
    /// urgent: then all of their requests go first.
    pub fn rank_of(&self, route: &Route, account: &ClientAccount) -> Rank {
        let Some((rank, priority)) = account.priority else {
            return route.rank;
        };
        let priorities = || self.accounts.values().filter_map(|a| a.priority);
        let lower = priorities().any(|(_, other)| priority < other);
        match (rank, lower) {
            (Rank::Urgent, true) => Rank::Urgent,
            _ if priorities().any(|(_, other)| other < priority) => Rank::Drafting,
            _ => route.rank,
        }
    }

    /// Returns the account that has an API key with the digest `key`.
    pub fn account_of(&self, key: &KeyHash) -> Option<&ClientAccount> {
        // Checks every account, so that the time taken does not reveal which one matched.
        self.accounts.values().fold(
            None,
            |found, a| if a.has_key(key) { Some(a) } else { found },
        )
    }
}
