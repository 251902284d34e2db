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
    /// The memory that a request of the pool typically occupies.
    pub typical_size: TokenCount,
}

impl<'a> PlacementRequest<'a> {
    /// Creates the placement request of an attempt without a failed server.
    pub const fn new(request: &'a Request, plan: AttemptPlan, use_reserved: bool) -> Self {
        Self {
            request,
            plan,
            failed_server: None,
            use_reserved,
            typical_size: TokenCount::ZERO,
        }
    }

    /// Sets the server that failed the last attempt, if any.
    #[must_use]
    pub const fn with_failed_server(mut self, server: Option<&'a ServerId>) -> Self {
        self.failed_server = server;
        self
    }

    /// Sets the memory that a request of the pool typically occupies.
    #[must_use]
    pub const fn with_typical_size(mut self, size: TokenCount) -> Self {
        self.typical_size = size;
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

    /// Returns whether a server has a free slot and room for the request, is within the limit that it
    /// names and is taken up again after a pause.
    pub fn has_capacity(&self, state: &ServerState, now: Timestamp) -> bool {
        self.has_slot(state, now) && self.has_room(state, now)
    }

    /// Returns whether the memory of a server has room for the request.
    pub fn has_room(&self, state: &ServerState, now: Timestamp) -> bool {
        let (reserved, begun) = (self.use_reserved, self.is_begun());
        state.has_room(self.request, self.typical_size, reserved, begun, now)
    }

    /// Returns whether a server has a free slot for the request, whatever its memory. A stream that has
    /// begun may use any slot.
    pub fn has_slot(&self, state: &ServerState, now: Timestamp) -> bool {
        if !state.rate.allows(now) || now < state.next_after_pause() {
            false
        } else if self.is_begun() {
            state.in_flight() < state.server.slots
        } else {
            state.has_capacity(self.request.rank, self.use_reserved, now)
        }
    }
}
