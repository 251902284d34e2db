//! The answer of an engine to a caller that waits for news.

use azureway_core::prelude::{
    CacheOp, Incarnation, LoadReport, ServerId, TokenCount, WeightsVersion,
};
use serde::{Deserialize, Serialize};

use super::CacheEvent;

/// What an engine tells of its load and its cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct EngineNews {
    /// The incarnation.
    pub incarnation: u64,
    /// The weights version that it has loaded.
    pub weights: u64,
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait in it.
    pub queued: u32,
    /// The prompt tokens that it has yet to compute.
    pub pending: u64,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// The number of the first event below, or of the next one if `whole` is set.
    pub first: u64,
    /// Whether the events are the whole content of the cache.
    #[serde(default)]
    pub whole: bool,
    /// The cache events in order.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

impl EngineNews {
    /// Returns the number of the event that follows.
    pub fn next_event(&self) -> u64 {
        let len = if self.whole {
            0
        } else {
            self.events.len() as u64
        };
        self.first + len
    }

    /// Returns what the news say of the load of `server`.
    pub fn load_report(&self, server: ServerId) -> LoadReport {
        LoadReport {
            server,
            incarnation: Incarnation::new(self.incarnation),
            weights: WeightsVersion::new(self.weights),
            running: self.running,
            queued: self.queued,
            pending: TokenCount::new(self.pending),
            leaving: self.leaving,
        }
    }

    /// Returns the cache events.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is no hexadecimal number of 128 bits.
    pub fn cache_ops(&self) -> Result<Vec<CacheOp>, std::num::ParseIntError> {
        self.events.iter().map(CacheOp::try_from).collect()
    }
}
