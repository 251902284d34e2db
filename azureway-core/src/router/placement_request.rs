//! The input of a placement decision.

use super::AttemptPlan;
use crate::domain::{
    ModelService, Request, ServerId, ServiceKind, StreamPosition, Timestamp, TokenCount,
};
use crate::fleet::ServerState;
use crate::route::{Candidate, Estimate, RequestProfile};

/// A request to be placed on a backend server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The request to place.
    pub request: &'a Request,
    /// The plan of the next attempt.
    pub plan: AttemptPlan,
    /// The server that failed the last attempt, which is chosen only if there is no other.
    pub failed_server: Option<&'a ServerId>,
    /// Whether drafting work may use the slots reserved for urgent work, because its guaranteed
    /// share is due.
    pub use_reserved: bool,
}

impl<'a> PlacementRequest<'a> {
    /// Creates the placement request of an attempt without a failed server.
    pub const fn new(request: &'a Request, plan: AttemptPlan, use_reserved: bool) -> Self {
        Self {
            request,
            plan,
            failed_server: None,
            use_reserved,
        }
    }

    /// Sets the server that failed the last attempt, if any.
    #[must_use]
    pub const fn with_failed_server(mut self, server: Option<&'a ServerId>) -> Self {
        self.failed_server = server;
        self
    }

    /// Returns the properties of the request that a routing policy uses.
    pub fn profile(&self, service: &ModelService) -> RequestProfile {
        let shared = self.request.prompt.prefix_tokens();
        RequestProfile {
            prefix: self.request.prompt.prefix(),
            rank: self.request.rank,
            prompt: self.request.prompt.tokens(),
            fetchable: if service.peer_fetch {
                shared
            } else {
                TokenCount::ZERO
            },
            seed: self.request.id.seed(),
        }
    }

    /// Returns whether the attempt resumes a stream that has begun.
    pub fn is_begun(&self) -> bool {
        self.plan.position > StreamPosition::ZERO
    }

    /// Returns whether a server accepts work and has weights that serve the request.
    pub fn is_served_by(
        &self,
        state: &ServerState,
        service: &ModelService,
        now: Timestamp,
    ) -> bool {
        let accepts = |loaded| service.accepts_weights(loaded, self.request.weights, now);
        let has_weights = service.kind == ServiceKind::Plain || state.weights.is_none_or(accepts);
        has_weights && state.accepts(now)
    }

    /// Returns whether the request may begin at a candidate by the time at which its server is expected to
    /// start on it.
    pub fn starts_in_time(
        &self,
        profile: RequestProfile,
        candidate: &Candidate<'_>,
        service: &ModelService,
        now: Timestamp,
    ) -> bool {
        let rollout = service.rollout.as_ref().zip(candidate.state.weights);
        rollout.is_none_or(|(rollout, loaded)| {
            let wait = || Estimate::new(profile, candidate, now).time_to_first_token();
            rollout.allows_start(loaded, now, wait)
        })
    }

    /// Returns whether a server has a free slot for the request and can hold it, is within the limit that it
    /// names and is taken up again after a pause. A stream that has begun may use any slot.
    pub fn has_capacity(&self, state: &ServerState, now: Timestamp) -> bool {
        let held_up = !state.rate.allows(now) || now < state.next_after_pause();
        if held_up || !state.can_hold(self.request) {
            false
        } else if self.is_begun() {
            state.in_flight() < state.server.slots
        } else {
            state.has_capacity(self.request.rank, self.use_reserved, now)
        }
    }
}
