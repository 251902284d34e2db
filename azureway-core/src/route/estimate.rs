//! Estimates what a request would cost at a candidate, so that policies can compare them.

use std::time::Duration;

use super::{Candidate, RequestProfile};
use crate::domain::{Timestamp, TokenCount};

/// The components of the estimated time to first token and of the cost at a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The queueing time until the server starts on the prompt.
    pub wait: Duration,
    /// The time to compute the uncached tokens of the prompt.
    pub prefill: Duration,
    /// The round-trip time of the network link.
    pub round_trip: Duration,
    /// How much longer than usual the answer takes on the server's machine, if the request has no
    /// prompt.
    pub slowdown: Duration,
    /// The delay that the prefill causes to the other requests at the server.
    pub interference: Duration,
    /// The cost of the traffic to the server, converted to time.
    pub traffic_cost: Duration,
    /// The cost of computing prefix tokens that another server may have cached, as time.
    pub recompute: Duration,
}

/// The weight of the delay to other requests. At a full server, a prefill adds this multiple of
/// its own time to the cost, and proportionally less at a server with fewer requests.
const INTERFERENCE_FACTOR: u32 = 4;

impl Estimate {
    /// Estimates the time to first token and the cost of a request at `candidate`.
    pub fn new(profile: RequestProfile, candidate: &Candidate<'_>, now: Timestamp) -> Self {
        let state = candidate.state;
        let server = &state.server;
        let rate = server.prefill;
        let uncached = profile.prompt.saturating_sub(candidate.cached);
        let prefill = state.pace.time_for(rate.time_for(uncached), now);
        let pending = rate.time_for(state.pending_tokens());
        let slowdown = match profile.prompt {
            TokenCount::ZERO => state.slowdown(now),
            _ => Duration::ZERO,
        };
        Self {
            wait: state
                .pace
                .time_for(pending.saturating_add(state.slot_wait(now)), now),
            prefill,
            slowdown,
            interference: prefill
                .saturating_mul(INTERFERENCE_FACTOR.saturating_mul(state.load(now)))
                / server.slots.max(1),
            round_trip: candidate.link_latency * 2,
            traffic_cost: candidate.traffic_cost,
            recompute: rate.time_for(profile.fetchable.saturating_sub(candidate.cached)),
        }
    }

    /// Returns the estimated time to first token.
    pub const fn time_to_first_token(&self) -> Duration {
        self.wait
            .saturating_add(self.prefill)
            .saturating_add(self.slowdown)
            .saturating_add(self.round_trip)
    }

    /// Returns the total cost: the time to first token, the traffic, the recomputed prefix and the
    /// delay to the other requests at the server.
    pub const fn cost(&self) -> Duration {
        self.time_to_first_token()
            .saturating_add(self.interference)
            .saturating_add(self.traffic_cost)
            .saturating_add(self.recompute)
    }
}
