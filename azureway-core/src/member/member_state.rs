//! The part of the peer table that is kept for each peer.

use super::MemberUpdate;
use crate::domain::Timestamp;

/// The state that this instance keeps of one peer.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The latest update about it.
    pub latest: MemberUpdate,
    /// The time at which that update was merged.
    pub updated: Timestamp,
    /// The number of consecutive heartbeats of this instance that it did not reply to.
    pub misses: u32,
    /// Whether the settings or the platform list it, which keeps it from being removed.
    pub listed: bool,
}

impl MemberState {
    /// Creates the state from the first update about a peer.
    pub const fn new(latest: MemberUpdate, updated: Timestamp) -> Self {
        Self {
            latest,
            updated,
            misses: 0,
            listed: false,
        }
    }
}
