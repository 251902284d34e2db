//! Operators' queries about routing, as the admitting duty receives them.

use azureway_core::prelude::{AccountId, Refusal, Request, RouteOption};
use flume::Sender;

use super::Call;

/// The reply to an [`ExplainCall`]: the request and the candidate servers, or a refusal.
pub type ExplainReply = Result<(Box<Request>, Vec<RouteOption>), Refusal>;

/// A query for the servers that a request of an account could be sent to, and their cost. The
/// request is not run.
#[derive(Debug)]
pub struct ExplainCall {
    /// The client account that would send the request.
    pub account: AccountId,
    /// The call as the account would make it, without its API key.
    pub call: Call,
    /// The ring for the reply.
    pub reply: Sender<ExplainReply>,
}
