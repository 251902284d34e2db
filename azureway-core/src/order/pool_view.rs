//! The weights of one pool: wanted, loaded and being loaded.

use std::collections::{BTreeMap, BTreeSet};

use super::Load;
use crate::domain::{BackendServer, ServerId, Timestamp, WeightsVersion};

/// The weights of one pool: wanted, loaded and being loaded.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// The weights that the services of the pool want.
    pub wanted: BTreeSet<WeightsVersion>,
    /// The servers that can be ordered, each with what it last said to have loaded.
    pub servers: Vec<(&'a BackendServer, WeightsVersion)>,
    /// The loads that were ordered.
    pub loads: &'a BTreeMap<ServerId, Load>,
}

impl<'a> PoolView<'a> {
    /// Returns the next server to order, and the weights that it is to load.
    pub fn next(&self) -> Option<(&'a BackendServer, WeightsVersion)> {
        let short = self.wanted.iter().filter(|w| self.short(**w) > 0);
        // The weights that fewest servers will have go first.
        let weights = *short.min_by_key(|w| self.coming(**w))?;
        let donor = self.idle().filter(|(_, had)| self.can_take(*had));
        let unwanted_first = donor.min_by_key(|(s, had)| (self.wanted.contains(had), *had, &s.id));
        unwanted_first.map(|(server, _)| (server, weights))
    }

    /// Returns the servers whose loads hold up the next one at `now`.
    pub fn loading(&self, now: Timestamp) -> usize {
        let loads = self
            .servers
            .iter()
            .filter_map(|(s, _)| self.loads.get(&s.id));
        loads.filter(|l| l.busy > now).count()
    }

    /// Returns the servers that are not loading.
    fn idle(&self) -> impl Iterator<Item = (&'a BackendServer, WeightsVersion)> {
        let servers = self.servers.iter().copied();
        servers.filter(|(s, _)| !self.loads.contains_key(&s.id))
    }

    /// Returns the servers that have the weights now.
    fn warm(&self, weights: WeightsVersion) -> usize {
        self.idle().filter(|(_, had)| *had == weights).count()
    }

    /// Returns the servers that have the weights or will have.
    fn coming(&self, weights: WeightsVersion) -> usize {
        let loads = self
            .servers
            .iter()
            .filter_map(|(s, _)| self.loads.get(&s.id));
        self.warm(weights) + loads.filter(|l| l.weights == weights).count()
    }

    /// Returns the servers that the weights are to have: an even share.
    fn goal(&self, weights: WeightsVersion) -> usize {
        let place = self.wanted.iter().position(|w| *w == weights).unwrap_or(0);
        let (share, rest) = (
            self.servers.len() / self.wanted.len(),
            self.servers.len() % self.wanted.len(),
        );
        share + usize::from(place < rest)
    }

    fn short(&self, weights: WeightsVersion) -> usize {
        self.goal(weights).saturating_sub(self.coming(weights))
    }

    /// Tells whether a server may give up what it has. The last warm replica of a model stays;
    /// so does one server with old weights until a server has wanted ones, since other entries
    /// may not have the new configuration yet.
    fn can_take(&self, had: WeightsVersion) -> bool {
        if self.wanted.contains(&had) {
            return self.warm(had) > 1 && self.coming(had) > self.goal(had);
        }
        let served = self.wanted.iter().any(|w| self.warm(*w) > 0);
        let empty = had == WeightsVersion::ZERO;
        empty || served || self.idle().count() > 1 || self.servers.len() == 1
    }
}
