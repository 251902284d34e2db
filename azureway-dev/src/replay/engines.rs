//! The engines of a replay.

use std::collections::HashMap;

use azureway_core::prelude::{Block, ServerId, TokenCount, WeightsVersion};

use super::{EngineModel, EngineSpeed};
use crate::trace::Header;

/// The engines of a replay, by their place in the order of the trace's zones.
#[derive(Clone, Debug)]
pub struct Engines {
    models: Vec<EngineModel>,
    places: HashMap<ServerId, usize>,
}

impl Engines {
    /// Creates the engines that a trace names.
    pub fn new(header: &Header) -> Self {
        let speed = EngineSpeed::new();
        let servers = header.servers();
        let models: Vec<EngineModel> = servers
            .into_iter()
            .map(|(id, zone)| EngineModel::new(id, zone, speed, header.blocks))
            .collect();
        let names = models.iter().map(|m| m.id.clone());
        Self {
            places: names.zip(0..).collect(),
            models,
        }
    }

    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.models.len()
    }

    /// Tells whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Returns the place of an engine.
    pub fn place(&self, id: &str) -> Option<usize> {
        self.places.get(id).copied()
    }

    /// Returns the engine at a place.
    pub fn at(&self, place: usize) -> &EngineModel {
        &self.models[place]
    }

    /// Returns the engine at a place, to change it.
    pub fn at_mut(&mut self, place: usize) -> &mut EngineModel {
        &mut self.models[place]
    }

    /// Returns the most tokens at the head of `blocks` that an engine with the weights holds.
    pub fn best_held(&self, blocks: &[Block], weights: WeightsVersion) -> TokenCount {
        let able = self.models.iter().filter(|m| m.accepts_weights(weights));
        let held = able.map(|m| m.cache.held(blocks));
        held.max().unwrap_or_default()
    }

    /// Returns the number of engines that are loading weights.
    pub fn loading(&self) -> u32 {
        let loading = self.models.iter().filter(|m| m.loading);
        u32::try_from(loading.count()).unwrap_or(u32::MAX)
    }
}
