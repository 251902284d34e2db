//! The load that a backend server reports periodically, by which requests are placed.

use crate::domain::{Incarnation, Pace, ServerId, TokenCount, WeightsVersion};

/// A load report from a backend server. It may lag behind the actual load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The server that sent the report.
    pub server: ServerId,
    /// The incarnation of the server when it sent the report.
    pub incarnation: Incarnation,
    /// The weights version that the server has loaded.
    pub weights: WeightsVersion,
    /// The number of running requests, from all entries.
    pub running: u32,
    /// The number of requests in the server's queue, from all entries.
    pub queued: u32,
    /// The prompt tokens still to be computed.
    pub pending: TokenCount,
    /// Whether the server is draining.
    pub leaving: bool,
    /// How long work takes on the server's machine, if the server states it.
    pub pace: Option<Pace>,
}
