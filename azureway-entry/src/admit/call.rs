//! A call as it came from a caller.

use azureway_core::prelude::{RequestId, Timestamp};
use flume::Sender;

use crate::caller::{Head, RequestUpdate};

/// A call as it came from a caller, whole and within its bounds.
#[derive(Debug)]
pub struct Call {
    /// The identity that its request gets.
    pub id: RequestId,
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Vec<u8>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// Where the outcome goes.
    pub updates: Sender<RequestUpdate>,
}
