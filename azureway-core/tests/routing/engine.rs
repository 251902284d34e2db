//! A model engine that checks who uses its cached blocks.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::BTreeMap;

use azureway_core::prelude::*;

/// Whose blocks these are: the account, and the weights that computed them.
pub type Owner = (AccountId, WeightsVersion);

/// A model engine that checks who uses its cached blocks.
pub struct Engine {
    pub id: ServerId,
    pub life: u64,
    pub weights: WeightsVersion,
    pub blocks: BTreeMap<BlockKey, Owner>,
    pub held: Vec<(usize, Dispatch, Request)>,
    log: Vec<CacheOp>,
    told: [usize; 2],
}

impl Engine {
    pub fn new(id: ServerId) -> Self {
        Self {
            id,
            life: 1,
            weights: WeightsVersion::new(1),
            blocks: BTreeMap::new(),
            held: Vec::new(),
            log: Vec::new(),
            told: [0; 2],
        }
    }

    /// Tells whether the engine runs what was ordered.
    pub fn takes(&self, order: &Dispatch) -> bool {
        let life = Incarnation::new(self.life);
        order.incarnation.is_none_or(|i| i == life) && order.weights == self.weights
    }

    /// Runs a request and returns the blocks that it found.
    pub fn run(&mut self, order: &Dispatch, request: &Request) -> usize {
        let owner = (request.account.clone(), self.weights);
        assert_eq!(order.salt, request.chain.salt(), "the salt travels");
        let keys: Vec<_> = request.chain.blocks().iter().map(|b| b.key).collect();
        let found = keys.iter().take_while(|k| self.blocks.contains_key(k));
        let used = found
            .inspect(|k| assert_eq!(self.blocks[*k], owner, "a foreign block is used"))
            .count();
        for key in keys {
            if self.blocks.insert(key, owner.clone()).is_none() {
                self.log.push(CacheOp::Stored(key));
            }
        }
        used
    }

    /// Starts anew with an empty cache.
    pub fn restart(&mut self, life: u64) -> Vec<(usize, Dispatch, Request)> {
        self.life = life;
        self.blocks.clear();
        self.log.clear();
        self.told = [0; 2];
        std::mem::take(&mut self.held)
    }

    pub fn load(&mut self, weights: WeightsVersion) {
        self.weights = weights;
        let gone = std::mem::take(&mut self.blocks);
        self.log.extend(gone.into_keys().map(CacheOp::Evicted));
    }

    pub fn report(&self, leaving: bool) -> LoadReport {
        LoadReport {
            server: self.id.clone(),
            incarnation: Incarnation::new(self.life),
            weights: self.weights,
            running: u32::try_from(self.held.len()).expect("few"),
            queued: 0,
            pending: self.held.iter().map(|(_, _, r)| r.chain.tokens()).sum(),
            leaving,
        }
    }

    /// Returns the number of the first event that `entry` was not told, and the events.
    pub fn news(&mut self, entry: usize) -> (u64, Vec<CacheOp>) {
        let first = std::mem::replace(&mut self.told[entry], self.log.len());
        (first as u64, self.log[first..].to_vec())
    }

    /// Returns the number of the next event, and the whole content.
    pub fn whole(&self) -> (u64, Vec<CacheOp>) {
        let ops = self.blocks.keys().map(|k| CacheOp::Stored(*k)).collect();
        (self.log.len() as u64, ops)
    }
}
