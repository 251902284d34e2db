//! Which order goes next.

use std::collections::BTreeMap;

use super::{Load, LoadOrder, OrderConfig, PoolView, StoreBudget};
use crate::domain::{
    BackendServer, BackendServerPool, ConfigVersion, ModelService, ServerId, ServiceKind,
    Timestamp, WeightsVersion,
};
use crate::fleet::{Fleet, LoadReport};

/// Compares what the configuration wants loaded with what the servers report, and returns one
/// order at a time.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    config: OrderConfig,
    fleet: Fleet,
    reported: BTreeMap<ServerId, WeightsVersion>,
    loads: BTreeMap<ServerId, Load>,
    budget: StoreBudget,
    /// Whether something has changed since no order was found.
    changed: bool,
}

impl OrderPlanner {
    /// Creates a planner that knows no configuration yet.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            budget: StoreBudget::new(config.store),
            config,
            fleet: Fleet::new(),
            reported: BTreeMap::new(),
            loads: BTreeMap::new(),
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
        }
    }

    /// Takes in what a server says of its weights. One that is leaving gets no orders.
    pub fn report(&mut self, report: &LoadReport, now: Timestamp) {
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
            let until = now + self.config.limit;
            let load = Load { weights, until };
            self.loads.entry(server.clone()).or_insert(load);
        }
    }

    /// Returns the next order, if one may be sent at `now`, and counts its load as running.
    pub fn next(&mut self, now: Timestamp) -> Option<LoadOrder> {
        let loads = self.loads.len();
        self.loads.retain(|_, load| load.until > now);
        self.changed |= self.loads.len() < loads;
        if now < self.budget.free() || !self.changed {
            return None;
        }
        let order = self.fleet.pools.values().find_map(|p| self.order(p));
        self.changed = order.is_some();
        let order = order?;
        let load = Load {
            weights: order.weights,
            until: now + self.config.limit,
        };
        self.loads.insert(order.server.clone(), load);
        self.budget.spend(now);
        Some(order)
    }

    /// Returns when the next order may be possible without further news.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let waits = self.budget.free();
        let limits = self.loads.values().map(|l| l.until);
        limits.chain([waits]).filter(|t| *t > now).min()
    }

    fn order(&self, pool: &BackendServerPool) -> Option<LoadOrder> {
        let view = self.view(pool);
        let bound = usize::try_from(pool.loads).unwrap_or(usize::MAX);
        if view.wanted.is_empty() || view.loading() >= bound {
            return None;
        }
        let (server, weights) = view.next()?;
        Some(LoadOrder {
            server: server.id.clone(),
            address: server.address,
            fenced: server.fenced,
            weights,
            config: self.fleet.version,
        })
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
