//! Breakdown of latencies, requests and queues by rank.

use azureway_core::prelude::Rank;
use prometheus_client::encoding::EncodeLabelSet;

/// The metric label of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabel {
    /// The name of the rank.
    pub rank: &'static str,
}

impl From<Rank> for RankLabel {
    fn from(rank: Rank) -> Self {
        Self {
            rank: rank.as_str(),
        }
    }
}
