//! A request that waits to be tried again.

use std::time::Duration;

use super::{AttemptPlan, InFlight};
use crate::domain::{Attempt, Refusal, Request, ServerId, StreamPosition, Timestamp};
use crate::event::Failure;

/// A request that waits to be tried again.
#[derive(Clone, Debug)]
pub struct Retry {
    /// The request.
    pub request: Request,
    /// What is to be tried.
    pub plan: AttemptPlan,
    /// The server that failed it last, if one did.
    pub failed: Option<ServerId>,
    /// How long it waits at most.
    pub until: Timestamp,
}

/// How long a stream that has begun waits for a server that resumes it.
const RESUME_PATIENCE: Duration = Duration::from_secs(10);

impl Retry {
    /// Creates the retry that follows from a failure of `flight`.
    pub fn new(flight: InFlight, failure: &Failure, now: Timestamp) -> Self {
        let id = flight.attempt.id;
        let plan = AttemptPlan {
            attempt: Attempt::new(id, flight.attempt.number + 1),
            position: failure.position,
            untouched: flight.untouched && failure.sent.is_not_run(),
            bounced: flight.bounced,
        };
        let begun = plan.position > StreamPosition::ZERO;
        // The deadline is for the first token; a stream that has begun has met it.
        let deadline = flight.request.deadline.timestamp();
        let until = if begun {
            now + RESUME_PATIENCE
        } else {
            deadline
        };
        Self {
            request: flight.request,
            plan,
            failed: Some(flight.server),
            until,
        }
    }

    /// Creates the retry of a suspect that has to wait for a server of its own.
    pub fn held(request: Request, plan: AttemptPlan) -> Self {
        Self {
            until: request.deadline.timestamp(),
            request,
            plan,
            failed: None,
        }
    }

    /// Returns the refusal of the request if it is not tried again.
    pub fn give_up(&self) -> Refusal {
        let begun = self.plan.position > StreamPosition::ZERO;
        super::Verdict::give_up(begun, self.plan.untouched)
    }
}
