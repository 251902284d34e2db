//! The decision which server loads which weights next, and when.

use std::collections::BTreeMap;

use super::{
    HeldServer, LoadOrder, OrderConfig, OrderCounts, PendingLoad, PoolView, StoreLimiter,
    UnansweredOrders,
};
use crate::domain::{
    BackendServer, BackendServerPool, ConfigVersion, ModelId, ModelService, ServerId, ServiceKind,
    Timestamp, WeightsVersion,
};
use crate::fleet::{Fleet, LoadReport};

/// Plans load orders, one at a time, by comparing the weights that the configuration requires with
/// those that the servers report.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    pub(super) config: OrderConfig,
    pub(super) fleet: Fleet,
    pub(super) reported: BTreeMap<ServerId, WeightsVersion>,
    pub(super) loads: BTreeMap<ServerId, PendingLoad>,
    pub(super) held: BTreeMap<ServerId, HeldServer>,
    pub(super) counts: OrderCounts,
    pub(super) unanswered: UnansweredOrders,
    store_limiter: StoreLimiter,
    /// The number of loads that occupied a slot when planning last ran.
    active_loads: usize,
    /// Whether anything has changed since planning last found no order.
    pub(super) changed: bool,
}

impl OrderPlanner {
    /// Creates a planner without a configuration.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            store_limiter: StoreLimiter::new(config.store_rate),
            config,
            fleet: Fleet::new(),
            reported: BTreeMap::new(),
            loads: BTreeMap::new(),
            held: BTreeMap::new(),
            counts: OrderCounts::new(),
            unanswered: UnansweredOrders::new(),
            active_loads: 0,
            changed: false,
        }
    }

    /// Returns the configuration version in effect.
    pub const fn version(&self) -> ConfigVersion {
        self.fleet.version
    }

    /// Adopts `fleet` if its version is newer.
    pub fn adopt(&mut self, fleet: &Fleet) {
        if fleet.version > self.fleet.version {
            let old = std::mem::replace(&mut self.fleet, fleet.clone());
            self.changed = true;
            let servers = &self.fleet.servers;
            self.reported.retain(|id, _| servers.contains_key(id));
            self.loads.retain(|id, _| servers.contains_key(id));
            self.counts.retain(|id| servers.contains_key(id));
            self.unanswered.retain(|id| servers.contains_key(id));
            self.apply_listed_weights(fleet, &old);
        }
    }

    /// Applies a server's load report. A server that is leaving gets no orders.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) {
        let (server, weights) = (&report.server, report.weights);
        if report.leaving {
            self.changed |= self.reported.remove(server).is_some();
            self.end_load(server);
            return;
        }
        let previous = self.reported.insert(server.clone(), weights);
        self.changed |= previous != Some(weights);
        if self.loads.get(server).is_some_and(|l| l.weights == weights) {
            self.end_load(server);
        }
        // A server that reports no weights is loading some, possibly on an order of the previous
        // holder of the lease.
        if weights == WeightsVersion::ZERO && previous != Some(weights) {
            let expires = now + self.config.load_timeout;
            let slot_until = now + self.config.slot_timeout;
            let load = PendingLoad {
                weights,
                slot_until,
                expires,
                failed: false,
            };
            self.loads.entry(server.clone()).or_insert(load);
        }
    }

    /// Records the weights that a server sent with a response.
    pub fn observe_weights(&mut self, server: &ServerId, weights: WeightsVersion) {
        let newer = self
            .reported
            .get(server)
            .is_none_or(|previous| *previous < weights);
        if newer && self.fleet.servers.contains_key(server) {
            self.reported.insert(server.clone(), weights);
            self.end_load(server);
        }
    }

    /// Records that a server no longer loads, since its weights are known or it has restarted.
    pub(super) fn end_load(&mut self, server: &ServerId) {
        self.loads.remove(server);
        self.unanswered.remove(server);
        self.changed = true;
    }

    /// Returns the next order, if one may be sent at `now`, and records its load as pending.
    pub fn next_order(&mut self, now: Timestamp) -> Option<LoadOrder> {
        let before = self.loads.len() + self.held.len();
        self.loads.retain(|_, load| load.expires > now);
        self.held.retain(|_, held| held.until > now);
        let active = self.loads.values().filter(|l| l.slot_until > now).count();
        self.changed |= self.loads.len() + self.held.len() < before || active < self.active_loads;
        self.active_loads = active;
        if now < self.store_limiter.available_at() || !self.changed {
            return None;
        }
        let order = self
            .fleet
            .pools
            .values()
            .find_map(|p| self.plan_order(p, now));
        self.changed = order.is_some();
        let order = order?;
        let load = PendingLoad {
            weights: order.weights,
            slot_until: now + self.config.slot_timeout,
            expires: now + self.config.load_timeout,
            failed: false,
        };
        if let Some(held) = self.held.get_mut(&order.server) {
            held.ordered = true;
        }
        self.loads.insert(order.server.clone(), load);
        self.active_loads += 1;
        self.store_limiter.record_load(now);
        Some(order)
    }

    /// Returns when the next order may become possible without further reports.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let available = self.store_limiter.available_at();
        let ends = self.loads.values().flat_map(|l| [l.slot_until, l.expires]);
        let pauses = self.held.values().map(|held| held.until);
        ends.chain(pauses)
            .chain([available])
            .filter(|t| *t > now)
            .min()
    }

    fn plan_order(&self, pool: &BackendServerPool, now: Timestamp) -> Option<LoadOrder> {
        let view = self.pool_view(pool);
        let limit = usize::try_from(pool.max_loads).unwrap_or(usize::MAX);
        if view.required.is_empty() || view.active_loads(now) >= limit {
            return None;
        }
        let (server, weights) = view.next_load()?;
        Some(LoadOrder {
            server: server.id.clone(),
            address: server.address,
            fenced: server.fenced,
            model: self.model_for(pool, weights),
            weights,
            mode: self.config.mode,
            config: self.fleet.version,
            incarnation: self.counts.incarnation(&server.id),
            accepted: self.counts.get(&server.id),
            repeated: self.unanswered.contains(&server.id),
        })
    }

    /// Returns whether a service of the server's pool requires the weights of an order.
    pub(super) fn is_required(&self, order: &LoadOrder) -> bool {
        let server = self.fleet.servers.get(&order.server);
        server.is_some_and(|server| {
            let mut services = self.fleet.services.values();
            services.any(|s| s.pool == server.pool && s.weights == order.weights)
        })
    }

    /// Returns the model that a service of the pool requires with these weights.
    fn model_for(&self, pool: &BackendServerPool, weights: WeightsVersion) -> Option<ModelId> {
        let mut services = self.fleet.services.values();
        let service = services.find(|s| s.pool == pool.id && s.weights == weights)?;
        service.rollout.as_ref().map(|r| r.model.clone())
    }

    fn pool_view(&self, pool: &BackendServerPool) -> PoolView<'_> {
        let serves = |s: &&ModelService| s.pool == pool.id && s.kind == ServiceKind::Model;
        let services = self.fleet.services.values().filter(serves);
        let servers = self.fleet.servers.values();
        let servers = servers.filter(|s| s.pool == pool.id && !s.leaving);
        let reported = |s: &BackendServer| self.reported.get(&s.id).copied();
        PoolView {
            forward: services.clone().any(|s| s.rollout.is_some()),
            required: services.map(|s| s.weights).collect(),
            servers: servers.filter_map(|s| Some((s, reported(s)?))).collect(),
            loads: &self.loads,
            held: &self.held,
        }
    }
}
