//! The request that an attempt sends to a backend server, apart from the routing decision.

use std::sync::Arc;

use azureway_core::prelude::{AccountId, IdempotencyKey, ServiceKind};

use super::Passthrough;
use crate::caller::CallerLink;

/// A request as it is sent to a backend server. The router never sees these bytes.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Whether a language model or a plain service answers.
    pub kind: ServiceKind,
    /// Whether the caller requested a stream.
    pub streamed: bool,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path at the backend server.
    pub path: Box<str>,
    /// The content type of the body.
    pub content_type: Box<str>,
    /// The client account, within which the idempotency key is unique.
    pub account: AccountId,
    /// The idempotency key, by which the backend server may detect duplicates itself.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The request body.
    pub body: Arc<[u8]>,
    /// The link to the caller, which stops the attempts.
    pub link: Arc<CallerLink>,
    /// The parts that are forwarded unchanged, if the request arrived on a configured route.
    pub passthrough: Option<Passthrough>,
}

impl UpstreamRequest {
    /// Sets whether the caller requested a stream.
    #[must_use]
    pub fn with_streamed(mut self, streamed: bool) -> Self {
        self.streamed = streamed;
        self
    }
}
