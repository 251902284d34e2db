//! A request that waits.

use crate::domain::{Request, Timestamp};
use crate::router::AttemptPlan;

/// A request that waits, with its place in the fair order.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The virtual time at which the request starts, in weighted tokens.
    pub start_tag: u64,
    /// Since when it waits.
    pub queued_at: Timestamp,
    /// The share of its account.
    pub weight: u32,
    /// What is to be tried next.
    pub plan: AttemptPlan,
    /// The request.
    pub request: Request,
}

impl QueuedRequest {
    /// Creates a request that waits for its first try.
    pub fn new(request: Request, weight: u32) -> Self {
        let plan = AttemptPlan::first(request.id);
        Self::with_plan(request, weight, plan)
    }

    /// Creates a request that waits for a later try.
    pub fn with_plan(request: Request, weight: u32, plan: AttemptPlan) -> Self {
        Self {
            start_tag: 0,
            queued_at: Timestamp::ZERO,
            weight: weight.max(1),
            plan,
            request,
        }
    }

    /// Returns the cost of the request over the share of its account.
    pub fn weighted_cost(&self) -> u64 {
        (self.request.cost().get() / u64::from(self.weight)).max(1)
    }
}
