//! Selection of the next load within one pool.

use std::collections::{BTreeMap, BTreeSet};

use super::{HeldServer, PendingLoad};
use crate::domain::{BackendServer, ServerId, Timestamp, WeightsVersion, ZoneId};

/// The weights of one pool: required, loaded and being loaded.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// Whether weights only become newer, as those do that operators name one after another.
    pub forward: bool,
    /// The weights that the services of the pool require.
    pub required: BTreeSet<WeightsVersion>,
    /// The servers that can get orders, each with the weights that it last reported.
    pub servers: Vec<(&'a BackendServer, WeightsVersion)>,
    /// The pending loads, also those of other pools.
    pub loads: &'a BTreeMap<ServerId, PendingLoad>,
    /// The servers that asked for a pause, also those of other pools.
    pub held: &'a BTreeMap<ServerId, HeldServer>,
}

impl<'a> PoolView<'a> {
    /// Returns the server that gets the next order, and the weights that it is to load.
    pub fn next_load(&self) -> Option<(&'a BackendServer, WeightsVersion)> {
        let missing = self.required.iter().filter(|w| self.missing_count(**w) > 0);
        // The missing weights that the fewest servers have or are loading come first.
        let weights = *missing.min_by_key(|w| self.expected_count(**w))?;
        let older = |loaded| !self.forward || loaded < weights;
        let replaceable = self.idle().filter(|(_, loaded)| older(*loaded));
        let replaceable = replaceable.filter(|(_, loaded)| self.can_replace(*loaded));
        let open = replaceable.filter(|(s, _)| self.held.get(&s.id).is_none_or(|h| !h.ordered));
        // Weights that no service requires are replaced first, then those of servers without a
        // pause, and of these the oldest. The zones take turns, since the servers of a zone are the
        // nearest to its callers.
        let zones = self.zone_progress(weights);
        let server = open.min_by_key(|(s, loaded)| {
            let held = self.held.contains_key(&s.id);
            let progress = zones.get(&s.zone).copied();
            (
                self.required.contains(loaded),
                held,
                *loaded,
                progress,
                &s.id,
            )
        });
        server.map(|(server, _)| (server, weights))
    }

    /// Returns the share of each zone's servers that have the weights or are loading them, in thousandths.
    fn zone_progress(&self, weights: WeightsVersion) -> BTreeMap<&'a ZoneId, usize> {
        let mut counts: BTreeMap<&ZoneId, (usize, usize)> = BTreeMap::new();
        for (server, loaded) in &self.servers {
            let (done, all) = counts.entry(&server.zone).or_default();
            let load = self.loads.get(&server.id).map(|l| l.weights);
            *done += usize::from(load.unwrap_or(*loaded) == weights);
            *all += 1;
        }
        let shares = counts.into_iter();
        shares
            .map(|(zone, (done, all))| (zone, done * 1_000 / all))
            .collect()
    }

    /// Returns the number of loads that occupy a slot at `now`.
    pub fn active_loads(&self, now: Timestamp) -> usize {
        let loads = self
            .servers
            .iter()
            .filter_map(|(s, _)| self.loads.get(&s.id));
        loads.filter(|l| l.slot_until > now).count()
    }

    /// Returns the servers without a pending load.
    fn idle(&self) -> impl Iterator<Item = (&'a BackendServer, WeightsVersion)> {
        let servers = self.servers.iter().copied();
        servers.filter(|(s, _)| !self.loads.contains_key(&s.id))
    }

    /// Returns the number of servers that have the weights now.
    fn loaded_count(&self, weights: WeightsVersion) -> usize {
        self.idle().filter(|(_, loaded)| *loaded == weights).count()
    }

    /// Returns the number of servers that have the weights or are loading them.
    fn expected_count(&self, weights: WeightsVersion) -> usize {
        let loads = self
            .servers
            .iter()
            .filter_map(|(s, _)| self.loads.get(&s.id));
        self.loaded_count(weights) + loads.filter(|l| l.weights == weights).count()
    }

    /// Returns the number of servers that should have the weights: an even share.
    fn target_count(&self, weights: WeightsVersion) -> usize {
        let index = self
            .required
            .iter()
            .position(|w| *w == weights)
            .unwrap_or(0);
        let (share, remainder) = (
            self.servers.len() / self.required.len(),
            self.servers.len() % self.required.len(),
        );
        share + usize::from(index < remainder)
    }

    fn missing_count(&self, weights: WeightsVersion) -> usize {
        self.target_count(weights)
            .saturating_sub(self.expected_count(weights))
    }

    /// Returns whether the weights that a server has loaded may be replaced. The last server that
    /// has required weights keeps them. So does the last server with old weights until another
    /// server has required ones, since other entries may not have the new configuration yet.
    fn can_replace(&self, loaded: WeightsVersion) -> bool {
        if self.required.contains(&loaded) {
            return self.loaded_count(loaded) > 1
                && self.expected_count(loaded) > self.target_count(loaded);
        }
        let served = self.required.iter().any(|w| self.loaded_count(*w) > 0);
        let empty = loaded == WeightsVersion::ZERO;
        empty || served || self.idle().count() > 1 || self.servers.len() == 1
    }
}
