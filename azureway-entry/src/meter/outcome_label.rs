//! The label of requests that ended alike.

use azureway_core::prelude::{Outcome, Rank, RequestKind};
use prometheus_client::encoding::EncodeLabelSet;

/// The label of requests of one rank and kind that ended alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The rank.
    pub rank: &'static str,
    /// Whether the requests may run more than once.
    pub kind: &'static str,
    /// How they ended.
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
