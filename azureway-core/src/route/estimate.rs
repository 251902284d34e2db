//! The estimated time to first token at a candidate.

use std::time::Duration;

use super::{Candidate, RequestProfile};
use crate::domain::Timestamp;

/// The parts of the estimated time to first token at a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The time until the server turns to the prompt.
    pub wait: Duration,
    /// The time to compute what is not cached.
    pub prefill: Duration,
    /// The time on the link, there and back.
    pub link: Duration,
    /// The time by which computing holds up the requests beside it.
    pub interference: Duration,
    /// What the traffic costs, as time.
    pub traffic_cost: Duration,
    /// What computing a prefix costs that another server may hold, as time.
    pub recompute: Duration,
}

/// How much the time to compute a prompt on a full server counts for the requests beside it.
const INTERFERENCE_FACTOR: u32 = 4;

impl Estimate {
    /// Estimates the time to first token of `profile` at `candidate`.
    pub fn new(profile: RequestProfile, candidate: &Candidate<'_>, now: Timestamp) -> Self {
        let state = candidate.state;
        let server = &state.server;
        let missing = profile.prompt.saturating_sub(candidate.cached);
        let prefill = server.prefill.time_for(missing);
        Self {
            wait: server.prefill.time_for(state.pending_tokens()) + state.slot_wait(now),
            prefill,
            interference: prefill.saturating_mul(INTERFERENCE_FACTOR * state.load(now))
                / server.slots.max(1),
            link: candidate.link * 2,
            traffic_cost: candidate.traffic_cost,
            recompute: server
                .prefill
                .time_for(profile.fetchable.saturating_sub(candidate.cached)),
        }
    }

    /// Returns the estimated time to first token.
    pub const fn total(&self) -> Duration {
        self.wait
            .saturating_add(self.prefill)
            .saturating_add(self.link)
    }
    /// Returns what the choice costs: the time to first token, the traffic, and the time by
    /// which computing the prompt holds up the requests beside it.
    pub const fn cost(&self) -> Duration {
        self.total()
            .saturating_add(self.interference)
            .saturating_add(self.traffic_cost)
            .saturating_add(self.recompute)
    }
}
