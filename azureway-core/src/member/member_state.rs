//! What is known of one peer.

use super::MemberUpdate;
use crate::domain::Timestamp;

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The latest news of it.
    pub news: MemberUpdate,
    /// When that news was taken in.
    pub since: Timestamp,
    /// The heartbeats in a row that it did not answer this instance.
    pub misses: u32,
    /// Whether settings or the platform name it, so that it is not forgotten.
    pub listed: bool,
}

impl MemberState {
    /// Creates a member from its first news.
    pub const fn new(news: MemberUpdate, since: Timestamp) -> Self {
        Self {
            news,
            since,
            misses: 0,
            listed: false,
        }
    }
}
