//! Decides where requests that may crash backend servers are allowed to run.

use std::collections::BTreeSet;

use super::isolation::SuspectParts;
use super::{
    AnsweredParts, CrashReport, CrashReportState, CrashSite, CrashSubject, Isolation, Quarantine,
    QuarantineChange, StoredParts, SuspectStatus,
};
use crate::domain::{Fingerprint, Incarnation, PartKey, Request, RequestId, ServerId, Timestamp};
use crate::event::{Failure, FailureKind};

/// Protects backend servers from requests that crash them.
///
/// It records which requests and parts of prompts are suspects, on which servers suspects run, and
/// the crash reports to broadcast to the other entries.
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    quarantine: Quarantine,
    isolation: Isolation,
    answered: AnsweredParts,
    stored: StoredParts,
    updates: Vec<CrashReport>,
}

impl CrashGuard {
    /// Creates a guard without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the status of a request at `now`, by its fingerprint and by the parts of its prompt.
    pub fn request_status(&self, request: &Request, now: Timestamp) -> SuspectStatus {
        let parts = request.prompt.shared_parts().iter();
        let status = parts.map(|part| self.part_status(part, request, now)).max();
        let own = self.status(&request.fingerprint, now);
        status.map_or(own, |s| s.max(own))
    }

    /// Returns the status of a request at `now`, by its fingerprint alone.
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        self.quarantine.status(fingerprint, now)
    }

    /// Returns the number of requests that have `status` at `now`.
    pub fn count(&self, status: SuspectStatus, now: Timestamp) -> usize {
        self.quarantine.count(status, now)
    }

    /// Returns whether a request is quarantined and may not run.
    pub fn is_quarantined(&self, request: &Request, now: Timestamp) -> bool {
        self.request_status(request, now) == SuspectStatus::Quarantined
    }

    /// Returns whether a part of the request's prompt is quarantined.
    pub fn has_quarantined_part(&self, request: &Request, now: Timestamp) -> bool {
        let mut parts = request.prompt.shared_parts().iter();
        parts.any(|p| self.part_status(p, request, now) == SuspectStatus::Quarantined)
    }

    /// Returns whether a request may run on a server.
    ///
    /// A suspect may run only on a server on which no other suspect runs, and only one copy of
    /// it at a time. A quarantined request may run, as a suspect, only if its stream has `begun`
    /// and no part of its prompt is quarantined.
    pub fn allows(
        &self,
        request: &Request,
        begun: bool,
        server: &ServerId,
        now: Timestamp,
    ) -> bool {
        match self.request_status(request, now) {
            SuspectStatus::Clear => true,
            SuspectStatus::Quarantined if !begun || self.has_quarantined_part(request, now) => {
                false
            }
            SuspectStatus::Suspect | SuspectStatus::Quarantined => {
                let parts = self.suspect_parts(request, now);
                let isolated = self.isolation.servers().all(|s| s != server);
                isolated && !self.isolation.is_running(&request.fingerprint, &parts)
            }
        }
    }

    /// Records that a request runs on a server.
    pub fn begin(&mut self, request: &Request, server: &ServerId, now: Timestamp) {
        if self.request_status(request, now) != SuspectStatus::Clear {
            let parts = self.suspect_parts(request, now);
            self.isolation.begin(request, parts, server.clone());
        }
    }

    /// Records that a request no longer runs.
    pub fn end(&mut self, id: RequestId) {
        self.isolation.end(id);
    }

    /// Records that a request completed. With `answered`, its server generated an answer, which
    /// clears the parts of its prompt.
    pub fn record_success(&mut self, request: &Request, answered: bool, now: Timestamp) {
        self.clear(CrashSubject::Request(request.fingerprint), now);
        let parts = request.prompt.shared_parts().iter().filter(|_| answered);
        for part in parts {
            self.answered.record(*part, now);
            self.clear(CrashSubject::Part(*part), now);
        }
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
            | FailureKind::Recalled
            | FailureKind::Declined => return,
            _ if restarted => CrashReportState::Confirmed,
            FailureKind::Broken => CrashReportState::Unconfirmed,
            // A silent connection or a bad answer alone is weak evidence of a crash.
            FailureKind::Silent | FailureKind::Faulty => CrashReportState::Tentative,
        };
        let mut add = |subject| {
            let report = CrashReport::new(subject, site.clone(), state, CrashReport::TTL);
            self.quarantine.merge(&report, now);
            if let CrashSubject::Part(part) = subject {
                self.stored.mark_reported(part);
            }
            self.updates.push(report);
        };
        add(CrashSubject::Request(request.fingerprint));
        if state == CrashReportState::Tentative {
            return;
        }
        let parts = request.prompt.shared_parts().iter();
        let unanswered = parts.filter(|part| !self.answered.contains(part, now));
        unanswered.for_each(|part| add(CrashSubject::Part(*part)));
    }

    /// Records the incarnation that a server reported. Every later one that it reported before `until`
    /// would be known.
    pub fn observe_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        until: Timestamp,
        now: Timestamp,
    ) {
        let resolved = self
            .quarantine
            .observe_incarnation(server, incarnation, until, now);
        for report in &resolved {
            if let CrashSubject::Part(part) = report.subject {
                self.stored.mark_cleared(part);
            }
        }
        self.updates.extend(resolved);
    }

    /// Merges a crash report from another entry. Returns whether this may have quarantined requests.
    ///
    /// Reports about a part that was answered here recently are cleared. The other entries are told
    /// so only if these reports nearly suffice to quarantine the part, since every entry that has
    /// answered it would tell them.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        let is_new = self.quarantine.merge(report, now);
        if let CrashSubject::Part(part) = report.subject {
            self.stored.mark_merged(part);
            if self.answered.contains(&part, now) {
                self.clear_answered(part, now);
            }
        }
        is_new && self.quarantine.may_be_cause(report.subject, now)
    }

    /// Records that the platform stores a part as quarantined.
    pub fn mark_stored(&mut self, part: PartKey) {
        self.stored.insert(part);
    }

    /// Records that the platform does not store a part as quarantined.
    pub fn mark_removed(&mut self, part: &PartKey) {
        self.stored.remove(part);
    }

    /// Records that the platform may have lost the parts that it stored as quarantined.
    pub fn mark_lost(&mut self) {
        self.stored.mark_lost();
    }

    /// Removes and returns the parts whose status may have changed.
    pub fn take_changed_parts(&mut self) -> BTreeSet<PartKey> {
        self.stored.take_changed()
    }

    /// Returns the change that makes the platform store `part` if it is quarantined, or no longer if
    /// no report counts against it, unless the platform does so already.
    pub fn quarantine_change(&mut self, part: PartKey, now: Timestamp) -> Option<QuarantineChange> {
        match self.quarantine.quarantine_record(part, now) {
            Some(record) => {
                let is_new = self.stored.insert(part);
                is_new.then_some(QuarantineChange::Stored(record))
            }
            None => {
                let cleared = !self.quarantine.is_possible_cause(&part, now);
                let removed = cleared && self.stored.remove(&part);
                removed.then_some(QuarantineChange::Removed(part))
            }
        }
    }

    /// Removes and returns the crash reports to broadcast to the other entries.
    pub fn take_updates(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.updates)
    }

    /// Clears the reports of other entries about a part that was answered here.
    fn clear_answered(&mut self, part: PartKey, now: Timestamp) {
        let matters = self.quarantine.is_nearly_cause(&part, now);
        let cleared = self.quarantine.clear(CrashSubject::Part(part), now);
        self.stored.mark_cleared(part);
        self.updates.extend(cleared.into_iter().filter(|_| matters));
    }

    /// Returns the status that a part gives to a request.
    fn part_status(&self, part: &PartKey, request: &Request, now: Timestamp) -> SuspectStatus {
        let parts = request.prompt.shared_parts();
        let fingerprint = Some(&request.fingerprint);
        self.quarantine.part_status(part, parts, fingerprint, now)
    }

    /// Returns the parts that make a request a suspect.
    fn suspect_parts(&self, request: &Request, now: Timestamp) -> SuspectParts {
        let parts = request.prompt.shared_parts().iter();
        let suspect = |p: &&PartKey| self.part_status(p, request, now) != SuspectStatus::Clear;
        parts.filter(suspect).copied().collect()
    }

    fn clear(&mut self, subject: CrashSubject, now: Timestamp) {
        let cleared = self.quarantine.clear(subject, now);
        if let CrashSubject::Part(part) = subject
            && !cleared.is_empty()
        {
            self.stored.mark_cleared(part);
        }
        self.updates.extend(cleared);
    }
}
