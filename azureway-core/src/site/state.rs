//! What was last heard of a site.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::{ListedServer, NamedWeights, SiteDocument, SiteService};
use crate::domain::{
    AccountId, AvailabilityZone, BackendServer, BackendServerPool, ClientAccount, ConfigVersion,
    ListedState, ModelId, ModelService, PoolId, Rollout, ServerId, ServiceKind, Timestamp,
    TokenRate, WeightsVersion,
};
use crate::fleet::Fleet;

/// What was last heard of a site, composed into one fleet.
#[derive(Clone, Debug)]
pub struct SiteState {
    zones: Vec<AvailabilityZone>,
    grace: Duration,
    document: Option<SiteDocument>,
    servers: BTreeMap<ServerId, ListedServer>,
    /// The servers that were missing when the platform came back, until they count as gone.
    missing: BTreeMap<ServerId, Timestamp>,
    named: BTreeMap<ModelId, Named>,
    revision: ConfigVersion,
}

/// The versions of a model's weights in the order of their names, with the earliest time at
/// which each can have been named.
type Named = SmallVec<[(WeightsVersion, Timestamp); 4]>;

/// The versions that are remembered of a model: more than are named within the time that older
/// weights may answer.
const NAMED_MAX: usize = 32;
/// How long an entry that lapsed while the platform was away may take to come back: the
/// platform's own promise.
const LAPSE_TIME: Duration = Duration::from_secs(2);
/// The client account of requests that carry no key, on routes that ask for none.
pub const ANONYMOUS: &str = "";
/// The limit of every account, in tokens a second, beyond what any site takes: the platform's
/// configuration has none.
const UNLIMITED: TokenRate = TokenRate::new(1 << 40);
/// The rounds in which a pool is brought to new weights: a server is told of and loads within
/// about a second, and the whole has to end within the platform's bound of some seconds.
const LOAD_ROUNDS: usize = 5;
/// The servers of a pool that load at once at least.
const LOADS_MIN: u32 = 2;
/// The prefill rate, in tokens a second, of an engine of which nothing was measured: the
/// order of magnitude of the engines in service.
const PREFILL: TokenRate = TokenRate::new(30_000);

impl SiteState {
    /// Creates the state of a site of which nothing was heard. Older weights may answer for
    /// `grace` after newer ones were named.
    pub fn new(zones: Vec<AvailabilityZone>, grace: Duration) -> Self {
        Self {
            zones,
            grace,
            document: None,
            servers: BTreeMap::new(),
            missing: BTreeMap::new(),
            named: BTreeMap::new(),
            revision: ConfigVersion::ZERO,
        }
    }

    /// Takes over a version of the configuration. Returns whether it is newer: a slow read
    /// must not bring an old one back.
    pub fn configure(&mut self, document: SiteDocument) -> bool {
        let newer = self.version() < Some(document.version);
        if newer {
            self.document = Some(document);
        }
        newer
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.document.as_ref().map(|d| d.version)
    }

    /// Takes over a server's entry.
    pub fn update_server(&mut self, entry: ListedServer) {
        self.missing.remove(&entry.id);
        self.servers.insert(entry.id.clone(), entry);
    }

    /// Takes in that a server's entry is gone. Where the platform has just come back, at
    /// `back`, the entry may have lapsed while it was away.
    pub fn remove_server(&mut self, id: &ServerId, back: Option<Timestamp>, now: Timestamp) {
        let until = back.map(|at| at + LAPSE_TIME).filter(|t| *t > now);
        let leaving = self.servers.get(id).is_none_or(|s| s.leaving);
        match until {
            Some(until) if !leaving => {
                self.missing.entry(id.clone()).or_insert(until);
            }
            _ => {
                self.missing.remove(id);
                self.servers.remove(id);
            }
        }
    }

    /// Takes in the whole list of servers.
    pub fn set_servers(
        &mut self,
        entries: Vec<ListedServer>,
        back: Option<Timestamp>,
        now: Timestamp,
    ) {
        let known: Vec<_> = self.servers.keys().cloned().collect();
        for id in known {
            if !entries.iter().any(|e| e.id == id) {
                self.remove_server(&id, back, now);
            }
        }
        entries.into_iter().for_each(|e| self.update_server(e));
    }

    /// Takes in weights that an operator named, at `since` at the earliest. Returns whether
    /// they are newer.
    pub fn add_named(&mut self, named: NamedWeights, since: Timestamp) -> bool {
        let known = self.named.entry(named.model).or_default();
        let newer = known.last().is_none_or(|(v, _)| *v < named.version);
        if newer {
            known.push((named.version, since));
            let more = known.len().saturating_sub(NAMED_MAX);
            known.drain(..more);
        }
        newer
    }

    /// Returns the earliest time at which weights count as named that a process finds when it
    /// starts. It cannot know for how long they have been named: older ones answer for `time`.
    pub fn named_since(&self, start: Timestamp, time: Duration) -> Timestamp {
        let grace = u64::try_from(self.grace.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros((start + time).as_micros().saturating_sub(grace))
    }

    /// Drops the servers that did not come back in time. Returns whether any is gone.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let late: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .collect();
        let late: Vec<_> = late.into_iter().map(|(id, _)| id.clone()).collect();
        for id in &late {
            self.missing.remove(id);
            self.servers.remove(id);
        }
        !late.is_empty()
    }

    /// Returns when the next missing server counts as gone.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.missing.values().min().copied()
    }

    /// Composes the fleet, once there is a configuration. Each has a greater version than the
    /// one before.
    pub fn build_fleet(&mut self) -> Option<Fleet> {
        let document = self.document.as_ref()?;
        self.revision = self.revision.next();
        let mut fleet = Fleet::new().with_version(self.revision);
        fleet.routes = document.routes.clone();
        fleet.limits = document.limits;
        let anonymous = ClientAccount::new(AccountId::new(ANONYMOUS)).with_limit(UNLIMITED);
        fleet = fleet.with_account(anonymous);
        for account in &document.accounts {
            fleet = fleet.with_account(account.clone().with_limit(UNLIMITED));
        }
        for zone in &self.zones {
            fleet = fleet.with_zone(zone.clone());
        }
        for service in document.services.iter().filter(|s| s.store.is_none()) {
            let pool = PoolId::new(service.id.as_str());
            let servers = self.servers.values().filter(|s| s.service == service.id);
            let loads = servers.count().div_ceil(LOAD_ROUNDS);
            let loads = u32::try_from(loads).unwrap_or(u32::MAX).max(LOADS_MIN);
            fleet = fleet.with_pool(BackendServerPool::new(pool).with_max_loads(loads));
            fleet = fleet.with_service(self.service(service));
        }
        let servers = self.servers.values().map(server);
        Some(servers.fold(fleet, Fleet::with_server))
    }

    fn service(&self, site: &SiteService) -> ModelService {
        let service = ModelService::new(site.id.clone(), PoolId::new(site.id.as_str()));
        let Some(model) = &site.model else {
            return service.with_kind(ServiceKind::Plain);
        };
        let named = self.named.get(model).cloned().unwrap_or_default();
        let rollout = Rollout {
            model: model.clone(),
            versions: named,
            grace: self.grace,
        };
        service
            .with_weights(self.wanted(site, model))
            .with_rollout(rollout)
            .with_peer_fetch(site.fetches)
    }

    /// Returns the weights that a service is to have. A server may have newer ones than were
    /// heard of here; it must not be brought back.
    fn wanted(&self, site: &SiteService, model: &ModelId) -> WeightsVersion {
        let named = self.named.get(model).and_then(|n| n.last());
        let named = named.map_or(WeightsVersion::new(1), |(version, _)| *version);
        let servers = self.servers.values().filter(|s| s.service == site.id);
        let loaded = servers.filter_map(|s| s.weights).max();
        loaded.map_or(named, |l| l.max(named))
    }
}

fn server(entry: &ListedServer) -> BackendServer {
    let pool = PoolId::new(entry.service.as_str());
    let server = BackendServer::new(entry.id.clone(), pool, entry.zone.clone(), entry.address);
    let mut server = server.with_slots(entry.slots).with_prefill(PREFILL);
    server.leaving = entry.leaving;
    server.listed = Some(ListedState {
        incarnation: entry.incarnation,
        weights: entry.weights,
    });
    server
}
