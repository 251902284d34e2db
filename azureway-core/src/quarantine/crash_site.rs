//! Where a backend server broke.

use crate::domain::{Incarnation, ServerId};

/// Where a backend server broke: the server and the incarnation that ended, or seemed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSite {
    /// The server.
    pub server: ServerId,
    /// The incarnation; zero if it was not known.
    pub incarnation: Incarnation,
}

impl CrashSite {
    /// Creates a site.
    pub const fn new(server: ServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
        }
    }
}
