//! A request as routing decisions see it.

use super::{
    AccountId, Deadline, Fingerprint, IdempotencyKey, Rank, RequestId, RequestKind, ServiceId,
    Timestamp, TokenCount, WeightsVersion, Worth,
};
use crate::cache::PromptBlocks;

/// The properties of a request that decisions depend on, without its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The identity of the request.
    pub id: RequestId,
    /// The client account that sent the request.
    pub account: AccountId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The rank of the request.
    pub rank: Rank,
    /// Whether the request may run more than once.
    pub kind: RequestKind,
    /// The worth of an answer that meets the deadline, for the metrics.
    pub worth: Worth,
    /// The time by which the first token must arrive.
    pub deadline: Deadline,
    /// The time at which the request is given up even if its answer has begun, if its route bounds
    /// the whole answer. It is not before the deadline.
    pub time_limit: Option<Timestamp>,
    /// The time at which the request arrived.
    pub arrived: Timestamp,
    /// The weights version that salts the blocks and that the answer must come from.
    pub weights: WeightsVersion,
    /// The blocks of the prompt.
    pub prompt: PromptBlocks,
    /// The largest number of tokens in the answer.
    pub max_output: TokenCount,
    /// The tokens that the request states for itself, prompt and longest answer together.
    pub usage: Option<TokenCount>,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The digest that is equal for repetitions of the request.
    pub fingerprint: Fingerprint,
    /// The largest number of attempts, if the route bounds it.
    pub max_attempts: Option<u32>,
}

impl Request {
    /// Returns whether the request runs at most once and its caller may send it again under the
    /// same key, so that it must be claimed before it runs.
    pub fn needs_claim(&self) -> bool {
        self.kind == RequestKind::AtMostOnce && self.idempotency_key.is_some()
    }

    /// Returns the largest number of tokens that the request may cost: its prompt and its longest
    /// answer.
    pub fn cost(&self) -> TokenCount {
        self.prompt.tokens() + self.max_output
    }
}
