//! The fleet as one version of the configuration gives it.

use std::collections::BTreeMap;

use super::RouteTable;
use crate::domain::{
    AccountId, AvailabilityZone, BackendServer, BackendServerPool, CallerLimits, ClientAccount,
    ConfigVersion, KeyHash, ModelService, PoolId, RankRules, ServerId, ServiceId, ServiceKind,
    ZoneId,
};

/// Everything that one version of the configuration defines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The version.
    pub version: ConfigVersion,
    /// The client accounts.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// The services.
    pub services: BTreeMap<ServiceId, ModelService>,
    /// The pools.
    pub pools: BTreeMap<PoolId, BackendServerPool>,
    /// The backend servers.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// The availability zones, with their regions.
    pub zones: BTreeMap<ZoneId, AvailabilityZone>,
    /// The rules for the two ranks of work.
    pub rules: RankRules,
    /// The routes, where callers are routed by host and path.
    pub routes: RouteTable,
    /// What callers may send and how long they may take.
    pub limits: CallerLimits,
}

impl Fleet {
    /// Creates a fleet with nothing in it.
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

    /// Sets the version.
    #[must_use]
    pub fn with_version(mut self, version: ConfigVersion) -> Self {
        self.version = version;
        self
    }

    /// Tells whether two availability zones stand in one region. Zones that the configuration
    /// does not name stand in one region of their own.
    pub fn share_region(&self, one: &ZoneId, other: &ZoneId) -> bool {
        let region = |zone| self.zones.get(zone).map(|z| &z.region);
        region(one) == region(other)
    }

    /// Tells whether the configuration names regions.
    pub fn has_regions(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Tells whether a plain service stands behind a name.
    pub fn is_plain(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| s.kind == ServiceKind::Plain)
    }

    /// Returns the account that the digest of an API key belongs to.
    pub fn account_of(&self, key: &KeyHash) -> Option<&ClientAccount> {
        // All accounts are looked at, so that the time does not tell which one matched.
        self.accounts.values().fold(
            None,
            |found, a| if a.has_key(key) { Some(a) } else { found },
        )
    }
}
