//! A request on its way to the decisions.

use azureway_core::prelude::Request;
use flume::Sender;

use super::UpstreamRequest;
use crate::caller::RequestUpdate;

/// A request on its way to the decisions, with what the entry keeps of it.
#[derive(Debug)]
pub struct Admitted {
    /// The request.
    pub request: Request,
    /// What a relay carries.
    pub upstream: UpstreamRequest,
    /// Where the outcome goes.
    pub updates: Sender<RequestUpdate>,
}
