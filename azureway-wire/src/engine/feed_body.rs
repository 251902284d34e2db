//! The answer to a poll, from which an entry instance updates load and cache index.

use azureway_core::prelude::{
    CacheOp, Incarnation, LoadReport, Pace, ServerId, TokenCount, WeightsVersion,
};
use serde::{Deserialize, Serialize};

use super::CacheEvent;

/// The answer of an engine to a poll: its load and the events of its prefix cache.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FeedBody {
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// The weights version that the engine has loaded.
    pub weights: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of prompt tokens that are still to be computed.
    pub pending: u64,
    /// Whether the engine is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// How long work takes on the engine's machine, in percent of the usual time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<f64>,
    /// The sequence number of the first event in `events`, or of the next event to come if `whole`
    /// is set.
    pub first: u64,
    /// Whether the events are a snapshot of the whole cache.
    #[serde(default)]
    pub whole: bool,
    /// The cache events, oldest first.
    #[serde(default)]
    pub events: Vec<CacheEvent>,
}

impl FeedBody {
    /// Returns the sequence number of the first event after these.
    pub fn next_event(&self) -> u64 {
        let len = if self.whole {
            0
        } else {
            self.events.len() as u64
        };
        self.first + len
    }

    /// Returns the load report of the engine, which is known as `server`.
    pub fn load_report(&self, server: ServerId) -> LoadReport {
        LoadReport {
            server,
            incarnation: Incarnation::new(self.incarnation),
            weights: WeightsVersion::new(self.weights),
            running: self.running,
            queued: self.queued,
            pending: TokenCount::new(self.pending),
            leaving: self.leaving,
            pace: self.pace.and_then(Pace::from_percent),
        }
    }

    /// Returns the cache events as operations on the cache index, in the memory of the events.
    pub fn into_cache_ops(self) -> Vec<CacheOp> {
        self.events.into_iter().map(CacheOp::from).collect()
    }
}
