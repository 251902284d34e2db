//! What is known of one peer.

use super::MemberUpdate;
use crate::domain::Timestamp;

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The latest news of it.
    pub latest: MemberUpdate,
    /// When that news was taken in.
    pub updated: Timestamp,
    /// The heartbeats in a row that it did not answer this instance.
    pub misses: u32,
    /// Whether settings or the platform name it, so that it is not forgotten.
    pub listed: bool,
}

impl MemberState {
    /// Creates a member from its first news.
    pub const fn new(latest: MemberUpdate, updated: Timestamp) -> Self {
        Self {
            latest,
            updated,
            misses: 0,
            listed: false,
        }
    }
}
