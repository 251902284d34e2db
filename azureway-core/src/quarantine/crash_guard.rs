//! The guard against requests that crash backend servers.

use super::{CrashSite, Isolation, Quarantine, Strike, StrikeState, SuspectStatus};
use crate::domain::{Fingerprint, Incarnation, Request, RequestId, ServerId, Timestamp};
use crate::event::{Failure, FailureKind};

/// The guard against requests that crash backend servers: who is suspected, which suspects
/// run where, and what peers have to hear of it.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    quarantine: Quarantine,
    isolation: Isolation,
    news: Vec<Strike>,
}

impl CrashGuard {
    /// Creates a guard that suspects nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how a request stands.
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        self.quarantine.status(fingerprint, now)
    }

    /// Returns the number of requests that stand so.
    pub fn count(&self, standing: SuspectStatus, now: Timestamp) -> usize {
        self.quarantine.count(standing, now)
    }

    /// Tells whether a request may not run.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.status(fingerprint, now) == SuspectStatus::Quarantined
    }

    /// Tells whether a request may run on a server: a suspect only where no other suspect
    /// runs, and only one copy of it at a time. `begun` tells whether its stream has begun.
    pub fn allows(
        &self,
        request: &Request,
        begun: bool,
        server: &ServerId,
        now: Timestamp,
    ) -> bool {
        match self.status(&request.fingerprint, now) {
            SuspectStatus::Clear => true,
            SuspectStatus::Quarantined if !begun => false,
            SuspectStatus::Suspect | SuspectStatus::Quarantined => {
                let apart = self.isolation.servers().all(|s| s != server);
                apart && !self.isolation.is_running(&request.fingerprint)
            }
        }
    }

    /// Notes that a request runs on a server.
    pub fn begin(&mut self, request: &Request, server: &ServerId, now: Timestamp) {
        if self.status(&request.fingerprint, now) != SuspectStatus::Clear {
            self.isolation
                .begin(request.id, request.fingerprint, server.clone());
        }
    }

    /// Notes that a request no longer runs.
    pub fn end(&mut self, id: RequestId) {
        self.isolation.end(id);
    }

    /// Notes that a request ran well.
    pub fn record_success(&mut self, request: &Request, now: Timestamp) {
        let cleared = self.quarantine.clear(&request.fingerprint, now);
        self.news.extend(cleared);
    }

    /// Notes that a request failed at a site whose server was last heard with `known`.
    pub fn record_failure(
        &mut self,
        request: &Request,
        failure: &Failure,
        site: CrashSite,
        known: Incarnation,
        now: Timestamp,
    ) {
        let returned = site.incarnation > Incarnation::ZERO && known > site.incarnation;
        let state = match failure.kind {
            _ if failure.sent.is_not_run() => return,
            FailureKind::Unreachable
            | FailureKind::Mismatch
            | FailureKind::Busy
            | FailureKind::Declined => return,
            _ if returned => StrikeState::Confirmed,
            FailureKind::Broken => StrikeState::Unconfirmed,
            // A silent connection or a bad answer says little of the server by itself.
            FailureKind::Silent | FailureKind::Faulty => StrikeState::Tentative,
        };
        let fingerprint = request.fingerprint;
        let strike = self.quarantine.add_strike(fingerprint, site, state, now);
        self.news.push(strike);
    }

    /// Notes that a server was heard with an incarnation.
    pub fn observe_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        let settled = self
            .quarantine
            .observe_incarnation(server, incarnation, now);
        self.news.extend(settled);
    }

    /// Takes in a peer's strike. Returns whether its request may not run from now on.
    pub fn merge(&mut self, strike: &Strike, now: Timestamp) -> bool {
        self.quarantine.merge(strike, now) && self.is_quarantined(&strike.fingerprint, now)
    }

    /// Takes out what peers have to hear.
    pub fn take_updates(&mut self) -> Vec<Strike> {
        std::mem::take(&mut self.news)
    }
}
