//! Which order goes next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Load, LoadOrder, OrderConfig, PoolView, StoreLimiter};
use crate::domain::{
    BackendServer, BackendServerPool, ConfigVersion, ModelId, ModelService, ServerId, ServiceKind,
    Timestamp, WeightsVersion,
};
use crate::fleet::{Fleet, LoadReport};

/// The time after which an order that failed is given again: a server that has crashed needs
/// longer to come back, and one that answers late has answered by then.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Compares what the configuration wants loaded with what the servers report, and returns one
/// order at a time.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    config: OrderConfig,
    fleet: Fleet,
    reported: BTreeMap<ServerId, WeightsVersion>,
    loads: BTreeMap<ServerId, Load>,
    budget: StoreLimiter,
    /// The loads that held up the next one when an order was last looked for.
    busy: usize,
    /// Whether something has changed since no order was found.
    changed: bool,
}

impl OrderPlanner {
    /// Creates a planner that knows no configuration yet.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            budget: StoreLimiter::new(config.store_rate),
            config,
            fleet: Fleet::new(),
            reported: BTreeMap::new(),
            loads: BTreeMap::new(),
            busy: 0,
            changed: false,
        }
    }

    /// Returns the version of the configuration in force.
    pub const fn version(&self) -> ConfigVersion {
        self.fleet.version
    }

    /// Takes over a newer configuration.
    pub fn adopt(&mut self, fleet: &Fleet) {
        if fleet.version > self.fleet.version {
            self.fleet = fleet.clone();
            self.changed = true;
            let servers = &self.fleet.servers;
            self.reported.retain(|id, _| servers.contains_key(id));
            self.loads.retain(|id, _| servers.contains_key(id));
            self.read_list();
        }
    }

    /// Takes in what the platform's list says of the servers' weights.
    fn read_list(&mut self) {
        for server in self.fleet.servers.values() {
            let Some(weights) = server.listed.and_then(|l| l.weights) else {
                continue;
            };
            // The list lags behind the answers, and weights only become newer.
            let known = self.reported.get(&server.id).copied().unwrap_or_default();
            self.reported.insert(server.id.clone(), known.max(weights));
            if self
                .loads
                .get(&server.id)
                .is_some_and(|l| l.weights <= weights)
            {
                self.loads.remove(&server.id);
            }
        }
    }

    /// Takes in what a server says of its weights. One that is leaving gets no orders.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) {
        let (server, weights) = (&report.server, report.weights);
        if report.leaving {
            self.changed |= self.reported.remove(server).is_some();
            self.loads.remove(server);
            return;
        }
        let had = self.reported.insert(server.clone(), weights);
        self.changed |= had != Some(weights);
        if self.loads.get(server).is_some_and(|l| l.weights == weights) {
            self.loads.remove(server);
            self.changed = true;
        }
        // A server that has just lost its weights is loading, also on an earlier holder's order.
        if weights == WeightsVersion::ZERO && had != Some(weights) {
            let until = now + self.config.load_timeout;
            let busy = now + self.config.slot_timeout;
            let load = Load {
                weights,
                busy,
                until,
            };
            self.loads.entry(server.clone()).or_insert(load);
        }
    }

    /// Takes in the weights that a server answered with.
    pub fn observe_weights(&mut self, server: &ServerId, weights: WeightsVersion) {
        let newer = self.reported.get(server).is_none_or(|had| *had < weights);
        if newer && self.fleet.servers.contains_key(server) {
            self.reported.insert(server.clone(), weights);
            self.loads.remove(server);
            self.changed = true;
        }
    }

    /// Takes in that an order failed: it holds up no other one, and is given again in a while
    /// unless the server turns out to have carried it out.
    pub fn record_failure(&mut self, server: &ServerId, now: Timestamp) {
        if let Some(load) = self.loads.get_mut(server) {
            load.busy = now;
            load.until = now + RETRY_TIME;
            self.changed = true;
        }
    }

    /// Returns the next order, if one may be sent at `now`, and counts its load as running.
    pub fn next_order(&mut self, now: Timestamp) -> Option<LoadOrder> {
        let loads = self.loads.len();
        self.loads.retain(|_, load| load.until > now);
        let busy = self.loads.values().filter(|l| l.busy > now).count();
        self.changed |= self.loads.len() < loads || busy < self.busy;
        self.busy = busy;
        if now < self.budget.free() || !self.changed {
            return None;
        }
        let order = self.fleet.pools.values().find_map(|p| self.order(p, now));
        self.changed = order.is_some();
        let order = order?;
        let load = Load {
            weights: order.weights,
            busy: now + self.config.slot_timeout,
            until: now + self.config.load_timeout,
        };
        self.loads.insert(order.server.clone(), load);
        self.busy += 1;
        self.budget.spend(now);
        Some(order)
    }

    /// Returns when the next order may be possible without further news.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let waits = self.budget.free();
        let limits = self.loads.values().flat_map(|l| [l.busy, l.until]);
        limits.chain([waits]).filter(|t| *t > now).min()
    }

    fn order(&self, pool: &BackendServerPool, now: Timestamp) -> Option<LoadOrder> {
        let view = self.view(pool);
        let bound = usize::try_from(pool.max_loads).unwrap_or(usize::MAX);
        if view.wanted.is_empty() || view.loading(now) >= bound {
            return None;
        }
        let (server, weights) = view.next()?;
        Some(LoadOrder {
            server: server.id.clone(),
            address: server.address,
            fenced: server.fenced,
            model: self.model(pool, weights),
            weights,
            mode: self.config.mode,
            config: self.fleet.version,
        })
    }

    /// Returns the model of a pool that is wanted with these weights.
    fn model(&self, pool: &BackendServerPool, weights: WeightsVersion) -> Option<ModelId> {
        let mut services = self.fleet.services.values();
        let service = services.find(|s| s.pool == pool.id && s.weights == weights)?;
        service.rollout.as_ref().map(|r| r.model.clone())
    }

    fn view(&self, pool: &BackendServerPool) -> PoolView<'_> {
        let serves = |s: &&ModelService| s.pool == pool.id && s.kind == ServiceKind::Model;
        let services = self.fleet.services.values().filter(serves);
        let servers = self.fleet.servers.values();
        let servers = servers.filter(|s| s.pool == pool.id && !s.leaving);
        let heard = |s: &BackendServer| self.reported.get(&s.id).copied();
        PoolView {
            wanted: services.map(|s| s.weights).collect(),
            servers: servers.filter_map(|s| Some((s, heard(s)?))).collect(),
            loads: &self.loads,
        }
    }
}
