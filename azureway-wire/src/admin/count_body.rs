//! How many requests ended in one way.

use azureway_core::prelude::{Outcome, OutcomeCount, Rank, RequestKind};
use serde::{Deserialize, Serialize};

/// How many requests of a rank and a kind ended in one way.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CountBody {
    /// The rank.
    pub rank: Box<str>,
    /// Whether the requests may run more than once.
    pub kind: Box<str>,
    /// How they ended.
    pub outcome: Box<str>,
    /// The requests.
    pub requests: u64,
    /// The sum of their worth.
    pub worth: u64,
}

impl From<(Rank, RequestKind, Outcome, OutcomeCount)> for CountBody {
    fn from((rank, kind, outcome, count): (Rank, RequestKind, Outcome, OutcomeCount)) -> Self {
        Self {
            rank: rank.as_str().into(),
            kind: kind.as_str().into(),
            outcome: outcome.as_str().into(),
            requests: count.requests,
            worth: count.worth,
        }
    }
}
