//! A request as the admitting duty hands it to the deciding duty.

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
