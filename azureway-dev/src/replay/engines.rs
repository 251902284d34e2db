//! Looks up the engines of a replay by index, name or cached blocks.

use std::collections::HashMap;

use azureway_core::prelude::{Block, ServerId, TokenCount, WeightsVersion};

use super::{EngineModel, EngineSpeed};
use crate::trace::Header;

/// The engines of a replay, indexed in the order of the zones of the trace.
#[derive(Clone, Debug)]
pub struct Engines {
    models: Vec<EngineModel>,
    indices: HashMap<ServerId, usize>,
}

impl Engines {
    /// Creates the engines that the header of a trace describes.
    pub fn new(header: &Header) -> Self {
        let speed = EngineSpeed::new();
        let servers = header.servers();
        let models: Vec<EngineModel> = servers
            .into_iter()
            .map(|(id, zone)| EngineModel::new(id, zone, speed, header.cache_blocks))
            .collect();
        let names = models.iter().map(|m| m.id.clone());
        Self {
            indices: names.zip(0..).collect(),
            models,
        }
    }

    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.models.len()
    }

    /// Returns whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.models.is_empty()
    }

    /// Returns the index of the engine with a name.
    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.indices.get(id).copied()
    }

    /// Returns the engine at an index.
    pub fn at(&self, index: usize) -> &EngineModel {
        &self.models[index]
    }

    /// Returns the engine at an index for modification.
    pub fn at_mut(&mut self, index: usize) -> &mut EngineModel {
        &mut self.models[index]
    }

    /// Returns the length of the longest prefix of `blocks` that an engine with the weights
    /// version has cached.
    pub fn best_cached(&self, blocks: &[Block], weights: WeightsVersion) -> TokenCount {
        let accepting = self.models.iter().filter(|m| m.accepts_weights(weights));
        let cached = accepting.map(|m| m.cache.cached_tokens(blocks));
        cached.max().unwrap_or_default()
    }

    /// Returns the number of engines that are loading weights.
    pub fn loading_count(&self) -> u32 {
        let loading = self.models.iter().filter(|m| m.loading);
        u32::try_from(loading.count()).unwrap_or(u32::MAX)
    }
}
