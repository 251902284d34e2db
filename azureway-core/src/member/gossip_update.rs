//! The union of all kinds of updates that heartbeats carry.

use super::{LoadNotice, MemberUpdate, ServerUpdate};
use crate::quarantine::CrashReport;

/// An update that heartbeats carry from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipUpdate {
    /// The liveness of an instance.
    Member(MemberUpdate),
    /// The failure or shutdown of a backend server.
    Server(ServerUpdate),
    /// A request that was running when a backend server crashed.
    CrashReport(CrashReport),
    /// A backend server that is about to load weights; receivers do not pass it on.
    Loading(LoadNotice),
}

impl GossipUpdate {
    /// Returns whether both are about the same subject, so that only one of them is kept.
    pub fn same_subject(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Member(a), Self::Member(b)) => a.instance.id == b.instance.id,
            (Self::Server(a), Self::Server(b)) => a.server == b.server,
            (Self::CrashReport(a), Self::CrashReport(b)) => {
                a.fingerprint == b.fingerprint && a.site == b.site
            }
            _ => false,
        }
    }
}
