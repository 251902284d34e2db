//! The union of all kinds of updates that heartbeats carry.

use super::{LoadNotice, MemberUpdate, ServerUpdate};
use crate::quarantine::{CrashReport, CrashSubject};

/// An update that heartbeats carry from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipUpdate {
    /// The liveness of an instance.
    Member(MemberUpdate),
    /// The failure or shutdown of a backend server.
    Server(ServerUpdate),
    /// A request or a part of prompts that was running when a backend server crashed.
    CrashReport(CrashReport),
    /// A backend server that is about to load weights; receivers do not pass it on.
    Loading(LoadNotice),
}

impl GossipUpdate {
    /// Returns whether the origin of the update has announced it to every peer, so that receivers
    /// do not pass it on.
    pub const fn is_announced(&self) -> bool {
        match self {
            Self::CrashReport(report) => matches!(report.subject, CrashSubject::Part(_)),
            Self::Loading(_) => true,
            Self::Member(_) | Self::Server(_) => false,
        }
    }

    /// Returns whether both are about the same subject, so that only one of them is kept.
    pub fn same_subject(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Member(a), Self::Member(b)) => a.instance.id == b.instance.id,
            (Self::Server(a), Self::Server(b)) => a.server == b.server,
            (Self::CrashReport(a), Self::CrashReport(b)) => {
                a.subject == b.subject && a.site == b.site
            }
            _ => false,
        }
    }
}
