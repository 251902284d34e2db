//! The router's record of a request while a backend server runs it.

use super::AttemptPlan;
use crate::domain::{
    Attempt, Incarnation, PoolId, Request, ServerId, StreamPosition, Timestamp, TokenCount,
    WeightsVersion,
};
use crate::event::{Dispatch, Failure, FailureKind, Recall, RecallCause, SendState};

/// A request that a backend server is running.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The request that runs.
    pub request: Request,
    /// The pool of the server.
    pub pool: PoolId,
    /// The current attempt.
    pub attempt: Attempt,
    /// The server that runs the request.
    pub server: ServerId,
    /// The expected incarnation of the server, or zero if it is unknown.
    pub incarnation: Incarnation,
    /// The weights version of the server.
    pub weights: WeightsVersion,
    /// The prompt tokens that the server is expected to compute.
    pub prefill: TokenCount,
    /// Whether the server has begun to answer.
    pub started: bool,
    /// Whether the attempt was recalled because a part of the prompt is quarantined.
    pub recalled: bool,
    /// Whether no earlier attempt can have run the request.
    pub not_run: bool,
    /// The number of earlier attempts that servers rejected for lack of capacity.
    pub rejections: u32,
    /// The time at which the attempt was sent.
    pub sent: Timestamp,
    /// The accounting period of the work in the state of the server.
    pub period: u64,
    /// The stream position at which the current attempt started.
    pub position: StreamPosition,
}

impl InFlight {
    /// Creates the request in flight that `dispatch` starts by `plan`.
    pub fn new(request: &Request, pool: PoolId, dispatch: &Dispatch, plan: AttemptPlan) -> Self {
        Self {
            request: request.clone(),
            pool,
            attempt: dispatch.attempt,
            server: dispatch.server.clone(),
            incarnation: dispatch.incarnation.unwrap_or(Incarnation::ZERO),
            weights: dispatch.weights,
            prefill: request.prompt.tokens().saturating_sub(dispatch.cached),
            started: false,
            recalled: false,
            not_run: plan.not_run,
            rejections: plan.rejections,
            sent: Timestamp::ZERO,
            period: 0,
            position: dispatch.position,
        }
    }

    /// Returns the prompt tokens that the server has yet to compute.
    pub const fn pending_prefill(&self) -> TokenCount {
        if self.started {
            TokenCount::ZERO
        } else {
            self.prefill
        }
    }

    /// Returns the failure of the current attempt if its server has not completed the answer in
    /// time.
    pub const fn timeout_failure(&self) -> Failure {
        Failure {
            attempt: self.attempt,
            kind: FailureKind::Silent,
            sent: SendState::MaybeRun,
            position: self.position,
        }
    }

    /// Returns the instruction to recall the current attempt for `cause`.
    pub fn recall(&self, cause: RecallCause) -> Recall {
        Recall {
            attempt: self.attempt,
            server: self.server.clone(),
            cause,
            sent: self.sent,
        }
    }

    /// Returns the plan of the next attempt after the server rejected this one for lack of
    /// capacity.
    pub const fn requeue_plan(&self) -> AttemptPlan {
        AttemptPlan {
            attempt: Attempt::new(self.attempt.id, self.attempt.number + 1),
            position: self.position,
            not_run: self.not_run,
            rejections: self.rejections + 1,
        }
    }
}
