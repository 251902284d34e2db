//! News of a backend server.

use super::ServerStatus;
use crate::domain::{Incarnation, ServerId};

/// News of a backend server: what speaks against one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUpdate {
    /// The server.
    pub server: ServerId,
    /// The incarnation that the news is about; zero if it is not known.
    pub incarnation: Incarnation,
    /// What speaks against it.
    pub status: ServerStatus,
}

impl ServerUpdate {
    /// Tells whether this news replaces `old` about the same server.
    pub fn replaces(&self, old: &Self) -> bool {
        (self.incarnation, self.status) > (old.incarnation, old.status)
    }
}
