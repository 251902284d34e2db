//! The router's knowledge before the next attempt of a request is sent.

use std::time::Duration;

use crate::domain::{Attempt, Incarnation, ModelService, Request, RequestId, StreamPosition};
use crate::event::Dispatch;
use crate::route::Candidate;

/// The plan of the next attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// The attempt to make.
    pub attempt: Attempt,
    /// The stream position to resume at, or zero for a new stream.
    pub position: StreamPosition,
    /// Whether no earlier attempt can have run the request.
    pub not_run: bool,
    /// The number of earlier attempts that servers rejected for lack of capacity.
    pub rejections: u32,
}

impl AttemptPlan {
    /// Creates the plan of the first attempt.
    pub const fn first(id: RequestId) -> Self {
        Self {
            attempt: Attempt::new(id, 1),
            position: StreamPosition::ZERO,
            not_run: true,
            rejections: 0,
        }
    }

    /// Returns the dispatch of `request` to the chosen server of `service`.
    pub fn dispatch_to(
        &self,
        request: &Request,
        service: &ModelService,
        best: &Candidate<'_>,
    ) -> Dispatch {
        // During a rollout the server answers from the weights that it has loaded, and its cache
        // blocks belong to them. If they are unknown, the newest are expected: older ones may no
        // longer serve, such as those that were the newest when the request was admitted.
        let weights = match &service.rollout {
            Some(_) => best.state.weights.unwrap_or(service.weights),
            None => request.weights,
        };
        let start_limit = service.start_limit(weights);
        let known = best.state.incarnation > Incarnation::ZERO;
        Dispatch {
            attempt: self.attempt,
            server: best.state.server.id.clone(),
            address: best.state.server.address,
            rank: request.rank,
            salt: request.prompt.salt(),
            incarnation: known.then_some(best.state.incarnation),
            weights,
            position: self.position,
            cached: best.cached,
            fetch_from: None,
            save_to: None,
            expected_ttft: Duration::ZERO,
            start_limit,
        }
    }
}
