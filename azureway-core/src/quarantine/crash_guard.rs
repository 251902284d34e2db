//! Decides where requests that may crash backend servers are allowed to run.

use super::{CrashReport, CrashReportState, CrashSite, Isolation, Quarantine, SuspectStatus};
use crate::domain::{Fingerprint, Incarnation, Request, RequestId, ServerId, Timestamp};
use crate::event::{Failure, FailureKind};

/// Protects backend servers from requests that crash them.
///
/// It records which requests are suspects, on which servers suspects run, and the crash reports
/// to broadcast to the other entries.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    quarantine: Quarantine,
    isolation: Isolation,
    updates: Vec<CrashReport>,
}

impl CrashGuard {
    /// Creates a guard without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the status of a request at `now`.
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        self.quarantine.status(fingerprint, now)
    }

    /// Returns the number of requests that have `status` at `now`.
    pub fn count(&self, status: SuspectStatus, now: Timestamp) -> usize {
        self.quarantine.count(status, now)
    }

    /// Returns whether a request is quarantined and may not run.
    pub fn is_quarantined(&self, fingerprint: &Fingerprint, now: Timestamp) -> bool {
        self.status(fingerprint, now) == SuspectStatus::Quarantined
    }

    /// Returns whether a request may run on a server.
    ///
    /// A suspect may run only on a server on which no other suspect runs, and only one copy of
    /// it at a time. A quarantined request may run, as a suspect, only if its stream has
    /// `begun`.
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
                let isolated = self.isolation.servers().all(|s| s != server);
                isolated && !self.isolation.is_running(&request.fingerprint)
            }
        }
    }

    /// Records that a request runs on a server.
    pub fn begin(&mut self, request: &Request, server: &ServerId, now: Timestamp) {
        if self.status(&request.fingerprint, now) != SuspectStatus::Clear {
            self.isolation
                .begin(request.id, request.fingerprint, server.clone());
        }
    }

    /// Records that a request no longer runs.
    pub fn end(&mut self, id: RequestId) {
        self.isolation.end(id);
    }

    /// Records that a request succeeded.
    pub fn record_success(&mut self, request: &Request, now: Timestamp) {
        let cleared = self.quarantine.clear(&request.fingerprint, now);
        self.updates.extend(cleared);
    }

    /// Records that a request failed at `site`. `known` is the last known incarnation of its
    /// server.
    pub fn record_failure(
        &mut self,
        request: &Request,
        failure: &Failure,
        site: CrashSite,
        known: Incarnation,
        now: Timestamp,
    ) {
        let restarted = site.incarnation > Incarnation::ZERO && known > site.incarnation;
        let state = match failure.kind {
            _ if failure.sent.is_not_run() => return,
            FailureKind::Unreachable
            | FailureKind::Mismatch
            | FailureKind::Busy
            | FailureKind::Declined => return,
            _ if restarted => CrashReportState::Confirmed,
            FailureKind::Broken => CrashReportState::Unconfirmed,
            // A silent connection or a bad answer alone is weak evidence of a crash.
            FailureKind::Silent | FailureKind::Faulty => CrashReportState::Tentative,
        };
        let fingerprint = request.fingerprint;
        let report = self.quarantine.add_report(fingerprint, site, state, now);
        self.updates.push(report);
    }

    /// Records the incarnation that a server reported.
    pub fn observe_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        let resolved = self
            .quarantine
            .observe_incarnation(server, incarnation, now);
        self.updates.extend(resolved);
    }

    /// Merges a crash report from another entry. Returns whether this changed the stored
    /// reports and the request is quarantined.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        self.quarantine.merge(report, now) && self.is_quarantined(&report.fingerprint, now)
    }

    /// Removes and returns the crash reports to broadcast to the other entries.
    pub fn take_updates(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.updates)
    }
}
