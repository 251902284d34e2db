//! A request that a backend server is running.

use super::AttemptPlan;
use crate::domain::{
    Attempt, Incarnation, PoolId, Request, ServerId, StreamPosition, Timestamp, TokenCount,
};
use crate::event::Dispatch;

/// A request that a backend server is running.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The request.
    pub request: Request,
    /// The pool.
    pub pool: PoolId,
    /// The current try.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerId,
    /// The incarnation that the server has by what is known; zero if nothing is.
    pub incarnation: Incarnation,
    /// The prompt tokens that the server is believed to have to compute.
    pub prefill: TokenCount,
    /// Whether the server has begun to answer.
    pub started: bool,
    /// Whether no earlier try can have run the request.
    pub untouched: bool,
    /// The earlier tries that a server refused for lack of room.
    pub bounced: u32,
    /// When it was sent.
    pub begun: Timestamp,
    /// The period in which the server's state notes the work.
    pub period: u64,
    /// The position at which the current try was resumed.
    pub position: StreamPosition,
}

impl InFlight {
    /// Creates the flight that an order begins by `plan`.
    pub fn new(request: &Request, pool: PoolId, order: &Dispatch, plan: AttemptPlan) -> Self {
        Self {
            request: request.clone(),
            pool,
            attempt: order.attempt,
            server: order.server.clone(),
            incarnation: order.incarnation.unwrap_or(Incarnation::ZERO),
            prefill: request.chain.tokens().saturating_sub(order.cached),
            started: false,
            untouched: plan.untouched,
            bounced: plan.bounced,
            begun: Timestamp::ZERO,
            period: 0,
            position: order.position,
        }
    }

    /// Returns the prompt tokens that the server still owes.
    pub const fn owed(&self) -> TokenCount {
        if self.started {
            TokenCount::ZERO
        } else {
            self.prefill
        }
    }

    /// Returns the plan of the next try, after the server had no room for this one.
    pub const fn bounce(&self) -> AttemptPlan {
        AttemptPlan {
            attempt: Attempt::new(self.attempt.id, self.attempt.number + 1),
            position: self.position,
            untouched: self.untouched,
            bounced: self.bounced + 1,
        }
    }
}
