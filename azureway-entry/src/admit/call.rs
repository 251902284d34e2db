//! A complete HTTP call, which a caller's connection hands to the admitting duty.

use std::sync::Arc;

use azureway_core::prelude::{RequestId, Timestamp};
use flume::Sender;

use crate::caller::{CallerLink, Head, RequestUpdate};

/// An HTTP call of a caller, completely read and within the size limits.
#[derive(Debug)]
pub struct Call {
    /// The ID that is assigned to its request.
    pub id: RequestId,
    /// The request line and the headers.
    pub head: Head,
    /// The request body.
    pub body: Vec<u8>,
    /// The time at which the call arrived.
    pub arrived: Timestamp,
    /// The ring to the connection of the caller.
    pub updates: Sender<RequestUpdate>,
    /// The link by which the connection of the caller stops the attempts.
    pub link: Arc<CallerLink>,
}
