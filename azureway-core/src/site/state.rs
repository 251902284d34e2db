//! The configuration, the servers and the named weights, combined into a site's fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LeftServers, ListedServer, Rollouts, SiteDocument, SiteService};
use crate::domain::{
    AccountId, AvailabilityZone, BackendServer, BackendServerPool, ClientAccount, ConfigVersion,
    ListedState, ModelId, ModelService, PoolId, ServerId, ServiceKind, Timestamp, TokenRate,
    WeightsVersion,
};
use crate::fleet::Fleet;

/// The latest state of a site, from which fleets are built.
#[derive(Clone, Debug)]
pub struct SiteState {
    zones: Vec<AvailabilityZone>,
    document: Option<SiteDocument>,
    servers: BTreeMap<ServerId, ListedServer>,
    listed_until: Timestamp,
    /// The servers that were no longer listed when the platform came back, with the time at which
    /// they count as removed.
    missing: BTreeMap<ServerId, Timestamp>,
    /// The servers that were leaving when they were no longer listed.
    left: LeftServers,
    rollouts: Rollouts,
    revision: ConfigVersion,
}

/// The time within which the platform guarantees to list a server again whose registration expired
/// while the platform was unavailable.
const RELIST_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest silence after which the platform drops a server's registration: three of its heartbeats.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_millis(3_600);
/// The time after an outage of the platform within which it lists the restarts of the outage, and no
/// longer the servers that ended in it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The client account of requests without a key, on routes that require none.
pub const ANONYMOUS: &str = "";
/// The number of rounds of concurrent loads in which a pool changes to new weights. A round takes
/// about a second, and the platform requires a rollout to end within some seconds.
const LOAD_ROUNDS: usize = 5;
/// The smallest number of servers of a pool that may load concurrently.
const MIN_LOADS: u32 = 2;
/// The prefill rate, in tokens per second, that is assumed of an engine without measurements: the
/// order of magnitude of the engines in service.
const DEFAULT_PREFILL: TokenRate = TokenRate::new(30_000);

impl SiteState {
    /// Creates the state of a site before anything was read. Older weights may serve requests for
    /// `grace` after newer ones were named.
    pub fn new(zones: Vec<AvailabilityZone>, grace: Duration) -> Self {
        Self::with_rollouts(zones, Rollouts::new(grace))
    }

    /// Creates the state of a site before anything was read but the times of its rollouts.
    pub fn with_rollouts(zones: Vec<AvailabilityZone>, rollouts: Rollouts) -> Self {
        Self {
            zones,
            rollouts,
            document: None,
            servers: BTreeMap::new(),
            listed_until: Timestamp::ZERO,
            missing: BTreeMap::new(),
            left: LeftServers::default(),
            revision: ConfigVersion::ZERO,
        }
    }

    /// Returns the rollouts of named weights.
    pub const fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the rollouts of named weights for modification.
    pub const fn rollouts_mut(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// Adopts a configuration if it is newer, so that a slow read cannot restore an old one. An account
    /// whose limit could not be read keeps the one that it had. Returns whether it is newer.
    pub fn configure(&mut self, mut document: SiteDocument) -> bool {
        let newer = self.version() < Some(document.version);
        if newer {
            let known = self.document.iter().flat_map(|d| &d.accounts);
            let known: BTreeMap<_, _> = known.map(|a| (&a.id, a.limit)).collect();
            for account in &mut document.accounts {
                if document
                    .limit_faults
                    .iter()
                    .any(|(id, _)| *id == account.id)
                {
                    account.limit = known.get(&account.id).copied().flatten();
                }
            }
            self.document = Some(document);
        }
        newer
    }

    /// Returns the version of the configuration, once there is one.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.document.as_ref().map(|d| d.version)
    }

    /// Adds a listed server, or replaces its previous state. An incarnation that is leaving never
    /// comes back, even if a restored platform lists the state from before, or an earlier one.
    pub fn update_server(&mut self, mut server: ListedServer) {
        self.missing.remove(&server.id);
        let known = self.servers.get(&server.id);
        let known = known.filter(|k| k.incarnation >= server.incarnation);
        server.leaving |= known.is_some_and(|k| k.leaving);
        server.leaving |= self.left.contains(&server.id, server.incarnation);
        self.servers.insert(server.id.clone(), server);
    }

    /// Removes a server that is no longer listed. If the platform was unavailable until
    /// `reconnected`, the server's registration may have expired during the outage. A server that
    /// was not leaving is therefore kept until the platform has had time to list it again.
    pub fn remove_server(&mut self, id: &ServerId, reconnected: Option<Timestamp>, now: Timestamp) {
        let until = reconnected
            .map(|at| at + RELIST_TIMEOUT)
            .filter(|t| *t > now);
        let leaving = self.servers.get(id).is_none_or(|s| s.leaving);
        match until {
            Some(until) if !leaving => {
                self.missing.entry(id.clone()).or_insert(until);
            }
            _ => {
                self.missing.remove(id);
                let removed = self.servers.remove(id);
                if let Some(server) = removed.filter(|s| s.leaving) {
                    self.left.insert(id, server.incarnation);
                }
            }
        }
    }

    /// Applies the complete list of servers. `reconnected` has the same meaning as for
    /// [`remove_server`](Self::remove_server).
    pub fn set_servers(
        &mut self,
        servers: Vec<ListedServer>,
        reconnected: Option<Timestamp>,
        now: Timestamp,
    ) {
        let known: Vec<_> = self.servers.keys().cloned().collect();
        for id in known {
            if !servers.iter().any(|s| s.id == id) {
                self.remove_server(&id, reconnected, now);
            }
        }
        servers.into_iter().for_each(|s| self.update_server(s));
    }

    /// Records that every change of the list of servers until a time was applied. While the platform is
    /// unavailable, no server can register. So after an outage that ended at `reconnected`, the list
    /// counts as incomplete until the platform has had time to bring it up to date.
    pub fn set_listed_until(&mut self, until: Timestamp, reconnected: Option<Timestamp>) {
        if reconnected.is_none_or(|at| until >= at + SETTLE_TIMEOUT) {
            self.listed_until = until;
        }
    }

    /// Returns the retirements of weights that are to be stored: the platform's store does not hold them, and
    /// some server still has older weights, which a process that starts later would use.
    pub fn unstored_retirements(&self) -> Vec<(ModelId, WeightsVersion)> {
        let unstored = self.rollouts.unstored();
        let needed = unstored.filter(|(model, oldest)| self.has_older(model, *oldest));
        needed
            .map(|(model, oldest)| (model.clone(), oldest))
            .collect()
    }

    /// Returns whether a listed server has weights of `model` that are older than `oldest`.
    fn has_older(&self, model: &ModelId, oldest: WeightsVersion) -> bool {
        let services = self.document.iter().flat_map(|d| &d.services);
        let mut services = services.filter(|s| s.model.as_ref() == Some(model));
        services.any(|service| {
            let mut servers = self.servers.values().filter(|s| s.service == service.id);
            servers.any(|s| s.weights.is_some_and(|w| w < oldest))
        })
    }

    /// Removes the servers that were not listed again in time. Returns whether there were any.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let expired: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .collect();
        let expired: Vec<_> = expired.into_iter().map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.missing.remove(id);
            self.servers.remove(id);
        }
        !expired.is_empty()
    }

    /// Returns when the next missing server counts as removed.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.missing.values().min().copied()
    }

    /// Builds the fleet, once there is a configuration. Each fleet has a greater version than the
    /// previous one.
    pub fn build_fleet(&mut self) -> Option<Fleet> {
        let document = self.document.as_ref()?;
        self.revision = self.revision.next();
        let mut fleet = Fleet::new().with_version(self.revision);
        fleet.routes = document.routes.clone();
        fleet.limits = document.limits;
        fleet.listed_until = self.listed_until;
        let anonymous = ClientAccount::new(AccountId::new(ANONYMOUS));
        fleet = fleet.with_account(anonymous);
        for account in &document.accounts {
            fleet = fleet.with_account(account.clone());
        }
        for zone in &self.zones {
            fleet = fleet.with_zone(zone.clone());
        }
        for service in document.services.iter().filter(|s| s.store.is_none()) {
            let pool = PoolId::new(service.id.as_str());
            let servers = self.servers.values().filter(|s| s.service == service.id);
            let loads = servers.count().div_ceil(LOAD_ROUNDS);
            let loads = u32::try_from(loads).unwrap_or(u32::MAX).max(MIN_LOADS);
            fleet = fleet.with_pool(BackendServerPool::new(pool).with_max_loads(loads));
            fleet = fleet.with_service(self.compose_service(service, document));
        }
        let servers = self.servers.values().map(|listed| {
            let service = document.services.iter().find(|s| s.id == listed.service);
            to_backend_server(listed).with_capacity(service.and_then(|s| s.capacity))
        });
        Some(servers.fold(fleet, Fleet::with_server))
    }

    fn compose_service(&self, site: &SiteService, document: &SiteDocument) -> ModelService {
        let service = ModelService::new(site.id.clone(), PoolId::new(site.id.as_str()));
        let Some(model) = &site.model else {
            return service.with_kind(ServiceKind::Plain);
        };
        let stores = document.services.iter().filter_map(|s| s.store.clone());
        let required = self.required_weights(site, model);
        service
            .with_weights(required)
            .with_rollout(self.rollouts.rollout(model, required))
            .with_peer_fetch(site.peer_fetch)
            .with_feed_limit(site.feed_limit)
            .with_stores(stores.collect())
    }

    /// Returns the weights that a service should use. A server may already have newer ones than
    /// those known here, and must not be ordered back to older ones.
    fn required_weights(&self, site: &SiteService, model: &ModelId) -> WeightsVersion {
        let named = self
            .rollouts
            .newest(model)
            .unwrap_or(WeightsVersion::new(1));
        let servers = self.servers.values().filter(|s| s.service == site.id);
        let loaded = servers.filter_map(|s| s.weights).max();
        loaded.map_or(named, |l| l.max(named))
    }
}

fn to_backend_server(listed: &ListedServer) -> BackendServer {
    let pool = PoolId::new(listed.service.as_str());
    let server = BackendServer::new(listed.id.clone(), pool, listed.zone.clone(), listed.address);
    let mut server = server
        .with_slots(listed.slots)
        .with_prefill(DEFAULT_PREFILL);
    server.leaving = listed.leaving;
    server.listed = Some(ListedState {
        incarnation: listed.incarnation,
        weights: listed.weights,
    });
    server
}
