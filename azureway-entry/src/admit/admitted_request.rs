//! What the admitting duty hands to the deciding duty for each request.

use azureway_core::prelude::Request;
use flume::Sender;

use super::UpstreamRequest;
use crate::caller::RequestUpdate;

/// A request that was admitted, on its way to the deciding duty.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The properties of the request that decisions depend on.
    pub request: Request,
    /// The bytes that are sent to a backend server.
    pub upstream: UpstreamRequest,
    /// The ring to the connection of the caller.
    pub updates: Sender<RequestUpdate>,
}
