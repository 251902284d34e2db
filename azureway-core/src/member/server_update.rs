//! The gossip update by which entries report a failed or leaving backend server.

use super::ServerStatus;
use crate::domain::{Incarnation, ServerId};

/// A gossip update about a backend server: why one of its incarnations should not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUpdate {
    /// The server that the update is about.
    pub server: ServerId,
    /// The incarnation that the update is about; zero if it is unknown.
    pub incarnation: Incarnation,
    /// The status of that incarnation.
    pub status: ServerStatus,
}

impl ServerUpdate {
    /// Returns whether this update replaces `old` about the same server: a greater incarnation
    /// does, and for the same incarnation a greater status.
    pub fn replaces(&self, old: &Self) -> bool {
        (self.incarnation, self.status) > (old.incarnation, old.status)
    }
}
