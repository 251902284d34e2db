//! Counts in [`StatusBody`](super::StatusBody), one for each rank, kind and outcome.

use azureway_core::prelude::{Outcome, OutcomeCount, Rank, RequestKind};
use serde::{Deserialize, Serialize};

/// The number and the worth of the requests of one rank and kind that had one outcome.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CountBody {
    /// The rank of the requests.
    pub rank: Box<str>,
    /// The kind of the requests: whether they may run more than once.
    pub kind: Box<str>,
    /// The outcome of the requests.
    pub outcome: Box<str>,
    /// The number of requests.
    pub requests: u64,
    /// The sum of the requests' worth.
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
