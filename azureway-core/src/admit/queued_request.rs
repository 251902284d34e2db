//! A request together with the data that orders it in the queue of its pool.

use crate::domain::{Request, Timestamp};
use crate::router::AttemptPlan;

/// A request in the queue of a pool, with its position in the fair order.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The start tag of the request: its virtual start time, in weighted tokens.
    pub start_tag: u64,
    /// The time at which the request was queued.
    pub queued_at: Timestamp,
    /// The weight of the client account, at least 1.
    pub weight: u32,
    /// The plan of the next attempt.
    pub plan: AttemptPlan,
    /// The queued request.
    pub request: Request,
}

impl QueuedRequest {
    /// Creates a queue item for the first attempt of a request.
    pub fn new(request: Request, weight: u32) -> Self {
        let plan = AttemptPlan::first(request.id);
        Self::with_plan(request, weight, plan)
    }

    /// Creates a queue item for the attempt that `plan` describes.
    pub fn with_plan(request: Request, weight: u32, plan: AttemptPlan) -> Self {
        Self {
            start_tag: 0,
            queued_at: Timestamp::ZERO,
            weight: weight.max(1),
            plan,
            request,
        }
    }

    /// Returns the cost of the request divided by the weight of its account, at least 1.
    pub fn weighted_cost(&self) -> u64 {
        (self.request.cost().get() / u64::from(self.weight)).max(1)
    }
}
