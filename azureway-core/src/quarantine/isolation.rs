//! Suspects that run apart from one another.

use crate::domain::{Fingerprint, RequestId, ServerId};

/// The suspects that run, each on a backend server of its own.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    running: Vec<(RequestId, Fingerprint, ServerId)>,
}

impl Isolation {
    /// Creates an isolation with no suspect.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a suspect runs on a server.
    pub fn begin(&mut self, id: RequestId, fingerprint: Fingerprint, server: ServerId) {
        self.end(id);
        self.running.push((id, fingerprint, server));
    }

    /// Notes that a request no longer runs.
    pub fn end(&mut self, id: RequestId) {
        self.running.retain(|r| r.0 != id);
    }

    /// Tells whether a copy of a suspect runs already.
    pub fn is_running(&self, fingerprint: &Fingerprint) -> bool {
        self.running.iter().any(|r| r.1 == *fingerprint)
    }

    /// Returns the servers on which a suspect runs.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.running.iter().map(|r| &r.2)
    }
}
