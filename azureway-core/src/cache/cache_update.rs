//! A run of cache events.

use super::CacheOp;
use crate::domain::{Incarnation, ServerId};

/// A run of numbered cache events of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct CacheUpdate<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// The server's incarnation when the events arose.
    pub incarnation: Incarnation,
    /// The number of the first event of the run.
    pub first: u64,
    /// Whether the run is the server's whole content rather than changes to it.
    pub snapshot: bool,
    /// The events in order.
    pub ops: &'a [CacheOp],
}
