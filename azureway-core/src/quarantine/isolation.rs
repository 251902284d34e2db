//! Tracks where suspects run, so that no two run on one backend server.

use crate::domain::{Fingerprint, RequestId, ServerId};

/// The running suspects, each isolated on its own backend server.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    running: Vec<(RequestId, Fingerprint, ServerId)>,
}

impl Isolation {
    /// Creates an isolation without running suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a suspect runs on a server.
    pub fn begin(&mut self, id: RequestId, fingerprint: Fingerprint, server: ServerId) {
        self.end(id);
        self.running.push((id, fingerprint, server));
    }

    /// Records that a request no longer runs.
    pub fn end(&mut self, id: RequestId) {
        self.running.retain(|r| r.0 != id);
    }

    /// Returns whether a copy of a suspect is already running.
    pub fn is_running(&self, fingerprint: &Fingerprint) -> bool {
        self.running.iter().any(|r| r.1 == *fingerprint)
    }

    /// Returns the servers on which a suspect runs.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.running.iter().map(|r| &r.2)
    }
}
