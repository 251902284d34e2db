//! Tracks where suspects run, so that no two run on one backend server.

use smallvec::SmallVec;

use crate::domain::{Fingerprint, PartKey, Request, RequestId, ServerId};

/// A suspect that runs: its request, its suspect parts and its server.
type RunningSuspect = (RequestId, Fingerprint, SuspectParts, ServerId);

/// The parts that make a request a suspect.
pub(super) type SuspectParts = SmallVec<[PartKey; 4]>;

/// The running suspects, each isolated on its own backend server.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    running: Vec<RunningSuspect>,
}

impl Isolation {
    /// Creates an isolation without running suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a suspect runs on a server.
    pub fn begin(&mut self, request: &Request, parts: SuspectParts, server: ServerId) {
        self.end(request.id);
        self.running
            .push((request.id, request.fingerprint, parts, server));
    }

    /// Records that a request no longer runs.
    pub fn end(&mut self, id: RequestId) {
        self.running.retain(|r| r.0 != id);
    }

    /// Returns whether a copy of a suspect is already running, or another request with one of its
    /// suspect parts.
    pub fn is_running(&self, fingerprint: &Fingerprint, parts: &SuspectParts) -> bool {
        let shared = |running: &SuspectParts| running.iter().any(|p| parts.contains(p));
        self.running
            .iter()
            .any(|r| r.1 == *fingerprint || shared(&r.2))
    }

    /// Returns the servers on which a suspect runs.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.running.iter().map(|r| &r.3)
    }
}
