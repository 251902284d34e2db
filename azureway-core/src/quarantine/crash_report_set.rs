//! Derives the status of a request from the crash reports about it.

use std::time::Duration;

use smallvec::SmallVec;

use super::{CrashReport, CrashReportState, CrashSite, SuspectStatus};
use crate::domain::{Incarnation, Timestamp};

/// A stored crash report: its site, its state, the time it was added and the time it expires.
type StoredReport = (CrashSite, CrashReportState, Timestamp, Timestamp);

/// The crash reports of one request, at most one for each site.
#[derive(Clone, Debug, Default)]
pub struct CrashReportSet {
    reports: SmallVec<[StoredReport; 2]>,
}

/// The number of crash reports that quarantine a request.
const QUARANTINE_REPORTS: usize = 2;
/// The largest number of crash reports kept for one request. It is twice the number that
/// quarantines a request, to leave room for cleared reports.
const MAX_REPORTS: usize = 2 * QUARANTINE_REPORTS;

impl CrashReportSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a crash report. Returns whether it was new or raised the state of a known one.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        let expires = now + report.ttl;
        if let Some(old) = self.reports.iter_mut().find(|r| r.0 == report.site) {
            if report.state <= old.1 {
                return false;
            }
            (old.1, old.3) = (report.state, expires);
            return true;
        }
        if self.reports.len() == MAX_REPORTS {
            self.drop_weakest();
        }
        self.reports
            .push((report.site.clone(), report.state, now, expires));
        true
    }

    /// Returns the status of the request at `now`.
    ///
    /// An unconfirmed crash report for an unknown incarnation counts only for `ttl`, since no
    /// report of the server can confirm or clear it.
    pub fn status(&self, ttl: Duration, now: Timestamp) -> SuspectStatus {
        let counts = |r: &&StoredReport| match r.1 {
            _ if r.3 <= now => false,
            CrashReportState::Unconfirmed if r.0.incarnation == Incarnation::ZERO => {
                now.since(r.2) < ttl
            }
            CrashReportState::Unconfirmed | CrashReportState::Confirmed => true,
            CrashReportState::Tentative | CrashReportState::Cleared => false,
        };
        match self.reports.iter().filter(counts).count() {
            0 => SuspectStatus::Clear,
            count if count < QUARANTINE_REPORTS => SuspectStatus::Suspect,
            _ => SuspectStatus::Quarantined,
        }
    }

    /// Returns the site, the state and the time of addition of each report that is not cleared.
    pub fn active(&self) -> impl Iterator<Item = (&CrashSite, CrashReportState, Timestamp)> {
        let active = self.reports.iter();
        active
            .filter(|r| r.1 != CrashReportState::Cleared)
            .map(|r| (&r.0, r.1, r.2))
    }

    /// Removes expired crash reports. Returns whether any crash report is left.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        self.reports.retain(|r| r.3 > now);
        !self.reports.is_empty()
    }

    /// Removes the crash report with the weakest evidence, and the oldest among equals.
    fn drop_weakest(&mut self) {
        let key = |r: &StoredReport| match r.1 {
            CrashReportState::Cleared => (0, r.2),
            CrashReportState::Tentative => (1, r.2),
            CrashReportState::Unconfirmed => (2, r.2),
            CrashReportState::Confirmed => (3, r.2),
        };
        let indices = 0..self.reports.len();
        if let Some(index) = indices.min_by_key(|i| key(&self.reports[*i])) {
            self.reports.remove(index);
        }
    }
}
