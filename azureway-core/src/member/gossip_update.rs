//! What heartbeats carry from peer to peer.

use super::{LoadNotice, MemberUpdate, ServerUpdate};
use crate::quarantine::Strike;

/// What heartbeats carry from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipUpdate {
    /// News of an instance.
    Member(MemberUpdate),
    /// News of a backend server.
    Server(ServerUpdate),
    /// News of a request that was running when a backend server broke.
    Strike(Strike),
    /// News of a backend server that is about to load weights; it is not passed on.
    Loading(LoadNotice),
}

impl GossipUpdate {
    /// Tells whether both are about the same subject, so that only one of them is kept.
    pub fn is_about(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Member(a), Self::Member(b)) => a.instance.id == b.instance.id,
            (Self::Server(a), Self::Server(b)) => a.server == b.server,
            (Self::Strike(a), Self::Strike(b)) => {
                a.fingerprint == b.fingerprint && a.site == b.site
            }
            _ => false,
        }
    }
}
