//! A question where a request would go.

use azureway_core::prelude::{AccountId, Refusal, Request, RouteOption};
use flume::Sender;

use super::Call;

/// The answer to an [`ExplainCall`].
pub type ExplainReply = Result<(Box<Request>, Vec<RouteOption>), Refusal>;

/// A question where a request of an account would go, and why. Nothing is run.
#[derive(Debug)]
pub struct ExplainCall {
    /// The client account.
    pub account: AccountId,
    /// The call as the account would make it, but for its API key.
    pub call: Call,
    /// Where the answer goes.
    pub reply: Sender<ExplainReply>,
}
