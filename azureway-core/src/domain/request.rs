//! A request as the decisions see it.

use super::{
    AccountId, Deadline, Fingerprint, IdempotencyKey, Rank, RequestId, RequestKind, ServiceId,
    Timestamp, TokenCount, WeightsVersion, Worth,
};
use crate::cache::BlockChain;

/// A request as the decisions see it: everything but its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The identity.
    pub id: RequestId,
    /// The client account that asks.
    pub account: AccountId,
    /// The service that is asked for.
    pub service: ServiceId,
    /// The rank.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub kind: RequestKind,
    /// What an answer in time is worth.
    pub worth: Worth,
    /// When the first token must have come.
    pub deadline: Deadline,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The weights version that the blocks are salted with and the answer must come from.
    pub weights: WeightsVersion,
    /// The blocks of the prompt.
    pub chain: BlockChain,
    /// The most tokens that the answer may have.
    pub max_output: TokenCount,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// What it has in common with the same request sent again.
    pub fingerprint: Fingerprint,
    /// The backend servers that it may be sent to, where its route bounds them.
    pub max_attempts: Option<u32>,
}

impl Request {
    /// Tells whether the request runs at most once and its caller may send it again.
    pub fn needs_claim(&self) -> bool {
        self.kind == RequestKind::AtMostOnce && self.idempotency_key.is_some()
    }

    /// Returns the tokens that the request may cost: its prompt and its longest answer.
    pub fn cost(&self) -> TokenCount {
        self.chain.tokens() + self.max_output
    }
}
