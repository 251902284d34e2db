//! What is asked of a placement.

use super::AttemptPlan;
use crate::domain::{
    ModelService, Request, ServerId, ServiceKind, StreamPosition, Timestamp, TokenCount,
};
use crate::fleet::ServerState;
use crate::route::RequestProfile;

/// A request that wants a backend server now.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The request.
    pub request: &'a Request,
    /// What is to be tried.
    pub plan: AttemptPlan,
    /// The server that failed it last, which is taken only if there is no other.
    pub failed: Option<&'a ServerId>,
    /// Whether the floor grants drafting the slots that are kept for urgent work.
    pub owed: bool,
}

impl<'a> PlacementRequest<'a> {
    /// Creates the want of a request that has failed nowhere.
    pub const fn new(request: &'a Request, plan: AttemptPlan, owed: bool) -> Self {
        Self {
            request,
            plan,
            failed: None,
            owed,
        }
    }

    /// Sets the server that failed the request last, if one did.
    #[must_use]
    pub const fn with_failed(mut self, failed: Option<&'a ServerId>) -> Self {
        self.failed = failed;
        self
    }

    /// Returns what a policy is told of the request.
    pub fn profile(&self, service: &ModelService) -> RequestProfile {
        let shared = self.request.chain.prefix_tokens();
        RequestProfile {
            prefix: self.request.chain.prefix(),
            rank: self.request.rank,
            prompt: self.request.chain.tokens(),
            fetchable: if service.peer_fetch {
                shared
            } else {
                TokenCount::ZERO
            },
            seed: self.request.id.seed(),
        }
    }

    /// Tells whether a stream that has begun is to be resumed.
    pub fn is_begun(&self) -> bool {
        self.plan.position > StreamPosition::ZERO
    }

    /// Tells whether a server is alive and has what a request to `service` needs.
    pub fn fits(&self, state: &ServerState, service: &ModelService, now: Timestamp) -> bool {
        let takes = |loaded| service.accepts_weights(loaded, self.request.weights, now);
        let weights = service.kind == ServiceKind::Plain || state.weights.is_none_or(takes);
        weights && state.accepts(now)
    }

    /// Tells whether a server has room. A stream that has begun may use any slot.
    pub fn has_capacity(&self, state: &ServerState, now: Timestamp) -> bool {
        if self.is_begun() {
            state.in_flight() < state.server.slots
        } else {
            state.has_capacity(self.request.rank, self.owed, now)
        }
    }
}
