//! The estimated time to first token at a candidate.

use std::time::Duration;

use super::{Candidate, Job};
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
    pub crowd: Duration,
    /// What the traffic costs, as time.
    pub toll: Duration,
    /// What computing a prefix costs that another server may hold, as time.
    pub waste: Duration,
}

/// How much the time to compute a prompt on a full server counts for the requests beside it.
const CROWD: u32 = 4;

impl Estimate {
    /// Estimates the time to first token of `job` at `candidate`.
    pub fn new(job: Job, candidate: &Candidate<'_>, now: Timestamp) -> Self {
        let state = candidate.state;
        let server = &state.server;
        let missing = job.prompt.saturating_sub(candidate.cached);
        let prefill = server.prefill.time_for(missing);
        Self {
            wait: server.prefill.time_for(state.pending_tokens()) + state.slot_wait(now),
            prefill,
            crowd: prefill.saturating_mul(CROWD * state.load(now)) / server.slots.max(1),
            link: candidate.link * 2,
            toll: candidate.toll,
            waste: server
                .prefill
                .time_for(job.shared.saturating_sub(candidate.cached)),
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
            .saturating_add(self.crowd)
            .saturating_add(self.toll)
            .saturating_add(self.waste)
    }
}
