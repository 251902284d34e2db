//! The fake model engine of the routing tests, with its cache and its event log.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::BTreeMap;

use azureway_core::prelude::*;

/// The owner of a block: its account and the weights that computed it.
pub type Owner = (AccountId, WeightsVersion);

/// A simulated model engine that checks the owner of every cached block that it reuses.
pub struct Engine {
    pub id: ServerId,
    pub incarnation: u64,
    pub weights: WeightsVersion,
    pub blocks: BTreeMap<BlockKey, Owner>,
    pub in_flight: Vec<(usize, Dispatch, Request)>,
    log: Vec<CacheOp>,
    delivered: [usize; 2],
}

impl Engine {
    pub fn new(id: ServerId) -> Self {
        Self {
            id,
            incarnation: 1,
            weights: WeightsVersion::new(1),
            blocks: BTreeMap::new(),
            in_flight: Vec::new(),
            log: Vec::new(),
            delivered: [0; 2],
        }
    }

    /// Returns whether the engine accepts the dispatch: its incarnation and weights match.
    pub fn accepts(&self, dispatch: &Dispatch) -> bool {
        let own = Incarnation::new(self.incarnation);
        dispatch.incarnation.is_none_or(|i| i == own) && dispatch.weights == self.weights
    }

    /// Runs a request and returns the number of its blocks that were cached.
    pub fn run(&mut self, dispatch: &Dispatch, request: &Request) -> usize {
        let owner = (request.account.clone(), self.weights);
        assert_eq!(
            dispatch.salt,
            request.prompt.salt(),
            "the salt of the request"
        );
        let keys: Vec<_> = request.prompt.blocks().iter().map(|b| b.key).collect();
        let found = keys.iter().take_while(|k| self.blocks.contains_key(k));
        let used = found
            .inspect(|k| assert_eq!(self.blocks[*k], owner, "another owner's block"))
            .count();
        for key in keys {
            if self.blocks.insert(key, owner.clone()).is_none() {
                self.log.push(CacheOp::Stored(key));
            }
        }
        used
    }

    /// Restarts the engine with an empty cache. Returns the requests that were in flight.
    pub fn restart(&mut self, incarnation: u64) -> Vec<(usize, Dispatch, Request)> {
        self.incarnation = incarnation;
        self.blocks.clear();
        self.log.clear();
        self.delivered = [0; 2];
        std::mem::take(&mut self.in_flight)
    }

    pub fn load(&mut self, weights: WeightsVersion) {
        self.weights = weights;
        let evicted = std::mem::take(&mut self.blocks);
        self.log.extend(evicted.into_keys().map(CacheOp::Evicted));
    }

    pub fn report(&self, leaving: bool) -> LoadReport {
        LoadReport {
            pace: None,
            server: self.id.clone(),
            incarnation: Incarnation::new(self.incarnation),
            weights: self.weights,
            running: u32::try_from(self.in_flight.len()).expect("few"),
            queued: 0,
            pending: self
                .in_flight
                .iter()
                .map(|(_, _, r)| r.prompt.tokens())
                .sum(),
            leaving,
        }
    }

    /// Returns the events not yet delivered to `entry`, after the number of the first.
    pub fn undelivered(&mut self, entry: usize) -> (u64, Vec<CacheOp>) {
        let first = std::mem::replace(&mut self.delivered[entry], self.log.len());
        (first as u64, self.log[first..].to_vec())
    }

    /// Returns the number of the next event, and the whole content of the cache.
    pub fn snapshot(&self) -> (u64, Vec<CacheOp>) {
        let ops = self.blocks.keys().map(|k| CacheOp::Stored(*k)).collect();
        (self.log.len() as u64, ops)
    }
}
