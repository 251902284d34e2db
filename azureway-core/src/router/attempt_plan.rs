//! What is to be tried next.

use std::time::Duration;

use crate::domain::{Attempt, Incarnation, ModelService, Request, RequestId, StreamPosition};
use crate::event::Dispatch;
use crate::route::Candidate;

/// What is to be tried next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// The try.
    pub attempt: Attempt,
    /// The position to resume at.
    pub position: StreamPosition,
    /// Whether no earlier try can have run the request.
    pub untouched: bool,
    /// The earlier tries that a server refused for lack of room.
    pub bounced: u32,
}

impl AttemptPlan {
    /// Creates the plan of a first try.
    pub const fn first(id: RequestId) -> Self {
        Self {
            attempt: Attempt::new(id, 1),
            position: StreamPosition::ZERO,
            untouched: true,
            bounced: 0,
        }
    }

    /// Returns the order that sends `request` to the chosen server of `service`.
    pub fn order(
        &self,
        request: &Request,
        service: &ModelService,
        best: &Candidate<'_>,
    ) -> Dispatch {
        // During a rollout the answer comes from what the server has, and so do its blocks.
        let loaded = service.rollout.as_ref().and(best.state.weights);
        let known = best.state.incarnation > Incarnation::ZERO;
        Dispatch {
            attempt: self.attempt,
            server: best.state.server.id.clone(),
            address: best.state.server.address,
            rank: request.rank,
            salt: request.chain.salt(),
            incarnation: known.then_some(best.state.incarnation),
            weights: loaded.unwrap_or(request.weights),
            position: self.position,
            cached: best.cached,
            fetch_from: None,
            expected_ttft: Duration::ZERO,
        }
    }
}
