//! The input of the cache index: what a backend server reports about its cache.

use super::CacheOp;
use crate::domain::{Incarnation, ServerId};

/// A run of consecutive cache events of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct CacheUpdate<'a> {
    /// The server that the events are from.
    pub server: &'a ServerId,
    /// The incarnation of the server at the time of the events.
    pub incarnation: Incarnation,
    /// The sequence number of the first event. For a snapshot, that of the next event after it.
    pub first: u64,
    /// Whether the run lists the whole content of the cache rather than changes to it.
    pub snapshot: bool,
    /// The events in order.
    pub ops: &'a [CacheOp],
}
