//! Identifies the backend server process that a crash report is about.

use crate::domain::{Incarnation, ServerId};

/// A backend server and the incarnation of it that crashed, or seemed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSite {
    /// The backend server.
    pub server: ServerId,
    /// The incarnation that handled the request, or zero if it was not known.
    pub incarnation: Incarnation,
}

impl CrashSite {
    /// Creates a site from a server and its incarnation.
    pub const fn new(server: ServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
        }
    }
}
