//! What a backend server says of its load.

use crate::domain::{Incarnation, ServerId, TokenCount, WeightsVersion};

/// What a backend server said of its load. Reports lag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The weights version that it has loaded.
    pub weights: WeightsVersion,
    /// The requests that it runs, from all entries.
    pub running: u32,
    /// The requests that wait in it.
    pub queued: u32,
    /// The prompt tokens that it has yet to compute.
    pub pending: TokenCount,
    /// Whether it is leaving.
    pub leaving: bool,
}
