//! The router's record of a request until its next attempt.

use std::time::Duration;

use super::{AttemptPlan, InFlight};
use crate::domain::{Attempt, Refusal, Request, ServerId, StreamPosition, Timestamp};
use crate::event::Failure;

/// A request that waits for a retry.
#[derive(Clone, Debug)]
pub struct Retry {
    /// The request to retry.
    pub request: Request,
    /// The plan of the next attempt.
    pub plan: AttemptPlan,
    /// The server that failed the last attempt, if any.
    pub failed_server: Option<ServerId>,
    /// The time after which the request is given up.
    pub expires: Timestamp,
}

/// The maximum time that a stream that has begun waits for a server to resume it.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

impl Retry {
    /// Creates the retry that follows from a failure of `flight`.
    pub fn new(flight: InFlight, failure: &Failure, now: Timestamp) -> Self {
        let id = flight.attempt.id;
        let plan = AttemptPlan {
            attempt: Attempt::new(id, flight.attempt.number + 1),
            position: failure.position,
            not_run: flight.not_run && failure.sent.is_not_run(),
            rejections: flight.rejections,
        };
        let begun = plan.position > StreamPosition::ZERO;
        // The deadline applies to the first token, which a stream that has begun has delivered.
        let deadline = flight.request.deadline.timestamp();
        let expires = if begun {
            let limit = flight.request.time_limit.unwrap_or(Timestamp::MAX);
            limit.min(now + RESUME_TIMEOUT)
        } else {
            deadline
        };
        Self {
            request: flight.request,
            plan,
            failed_server: Some(flight.server),
            expires,
        }
    }

    /// Creates the retry of a suspect request, which waits for a server without other suspects.
    pub fn for_suspect(request: Request, plan: AttemptPlan) -> Self {
        Self {
            expires: request.deadline.timestamp(),
            request,
            plan,
            failed_server: None,
        }
    }

    /// Returns the refusal of the request if it is not retried.
    pub fn give_up(&self) -> Refusal {
        let begun = self.plan.position > StreamPosition::ZERO;
        super::RetryDecision::give_up(begun, self.plan.not_run)
    }
}
