//! What a relay carries to a backend server.

use std::sync::Arc;

use azureway_core::prelude::{AccountId, IdempotencyKey, ServiceKind};

use super::Passthrough;

/// What a relay carries to a backend server: the bytes that the decisions never see.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// What stands behind the service.
    pub kind: ServiceKind,
    /// Whether the caller asked for a stream.
    pub streamed: bool,
    /// The method.
    pub method: Box<str>,
    /// The path at the backend server.
    pub path: Box<str>,
    /// The type of the body.
    pub content_type: Box<str>,
    /// The client account, within which the idempotency key is unique.
    pub account: AccountId,
    /// The idempotency key, which the backend server may check itself.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Arc<[u8]>,
    /// What is passed on unchanged, where the interface passes requests on.
    pub passthrough: Option<Passthrough>,
}

impl UpstreamRequest {
    /// Sets whether the caller asked for a stream.
    #[must_use]
    pub fn with_streamed(mut self, streamed: bool) -> Self {
        self.streamed = streamed;
        self
    }
}
