//! Remembers which weights of each model were given up, and which of this the platform's store knows.

use std::collections::BTreeMap;

use crate::domain::{ModelId, Retirement, WeightsVersion};

/// The retirements of all models, each of which only moves forward.
#[derive(Clone, Debug, Default)]
pub(super) struct RetiredWeights {
    known: BTreeMap<ModelId, Retirement>,
    /// The retirements that processes which start later must be told of.
    witnessed: BTreeMap<ModelId, WeightsVersion>,
    /// The retirements that the store holds, or that are being written there.
    stored: BTreeMap<ModelId, WeightsVersion>,
}

impl RetiredWeights {
    /// Returns the retirement of a model's older weights.
    pub(super) fn get(&self, model: &ModelId) -> Option<Retirement> {
        self.known.get(model).copied()
    }

    /// Adds a retirement. Returns whether it gives up more weights than were given up before.
    pub(super) fn add(&mut self, model: &ModelId, retirement: Retirement) -> bool {
        let known = self.known.get(model);
        let newer = known.is_none_or(|k| k.oldest < retirement.oldest);
        if newer {
            self.known.insert(model.clone(), retirement);
        }
        newer
    }

    /// Records that some process has seen the whole grace period that ended with `oldest`.
    pub(super) fn record_witnessed(&mut self, model: &ModelId, oldest: WeightsVersion) {
        let witnessed = self.witnessed.entry(model.clone()).or_insert(oldest);
        *witnessed = oldest.max(*witnessed);
    }

    /// Records that the store holds a retirement, or that it is being written there.
    pub(super) fn record_stored(&mut self, model: &ModelId, oldest: WeightsVersion) {
        let stored = self.stored.entry(model.clone()).or_insert(oldest);
        *stored = oldest.max(*stored);
    }

    /// Records that the store may have lost what it held.
    pub(super) fn record_lost(&mut self) {
        self.stored.clear();
    }

    /// Returns the retirements that the store does not hold.
    pub(super) fn unstored(&self) -> impl Iterator<Item = (&ModelId, WeightsVersion)> {
        let unstored = |(model, oldest): &(&ModelId, &WeightsVersion)| {
            self.stored.get(*model).is_none_or(|s| s < *oldest)
        };
        let witnessed = self.witnessed.iter().filter(unstored);
        witnessed.map(|(model, oldest)| (model, *oldest))
    }
}
