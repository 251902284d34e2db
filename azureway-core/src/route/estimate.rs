//! The estimated time to first token at a candidate.

use std::time::Duration;

use super::{Candidate, Job};

/// The parts of the estimated time to first token at a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The time until the server turns to the prompt.
    pub wait: Duration,
    /// The time to compute what is not cached.
    pub prefill: Duration,
    /// The time on the link, there and back.
    pub link: Duration,
    /// What the traffic costs, as time.
    pub toll: Duration,
}

impl Estimate {
    /// Estimates the time to first token of `job` at `candidate`.
    pub fn new(job: Job, candidate: &Candidate<'_>) -> Self {
        let server = &candidate.state.server;
        Self {
            wait: server.prefill.time_for(candidate.state.ahead()) + candidate.state.slot_wait(),
            prefill: server
                .prefill
                .time_for(job.prompt.saturating_sub(candidate.cached)),
            link: candidate.link * 2,
            toll: candidate.toll,
        }
    }

    /// Returns the estimated time to first token.
    pub const fn total(&self) -> Duration {
        self.wait
            .saturating_add(self.prefill)
            .saturating_add(self.link)
    }
    /// Returns what the choice costs: the time to first token, the traffic, and once more
    /// the time to compute, for which the requests behind wait too.
    pub const fn cost(&self) -> Duration {
        self.total()
            .saturating_add(self.prefill)
            .saturating_add(self.toll)
    }
}
