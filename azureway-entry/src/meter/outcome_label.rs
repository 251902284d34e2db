//! Breakdown of request counts by rank, kind and outcome.

use azureway_core::prelude::{Outcome, Rank, RequestKind};
use prometheus_client::encoding::EncodeLabelSet;

/// The metric label of requests with the same rank, kind and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The name of the rank.
    pub rank: &'static str,
    /// The request kind, which says whether a request may run more than once.
    pub kind: &'static str,
    /// The outcome of the requests.
    pub outcome: &'static str,
}

impl OutcomeLabel {
    /// Creates the label of a rank, a kind and an outcome.
    pub const fn new(rank: Rank, kind: RequestKind, outcome: Outcome) -> Self {
        Self {
            rank: rank.as_str(),
            kind: kind.as_str(),
            outcome: outcome.as_str(),
        }
    }
}
