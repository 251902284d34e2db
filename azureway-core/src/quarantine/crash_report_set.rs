//! The crash reports of one request.

use std::time::Duration;

use smallvec::SmallVec;

use super::{CrashReport, CrashReportState, CrashSite, SuspectStatus};
use crate::domain::{Incarnation, Timestamp};

/// A crash report as it is kept: its site, its state, the time it was added and the time it expires.
type Entry = (CrashSite, CrashReportState, Timestamp, Timestamp);

/// The crash reports of one request, at most one for each site.
#[derive(Clone, Debug, Default)]
pub struct CrashReportSet {
    entries: SmallVec<[Entry; 2]>,
}

/// The number of crash reports that quarantine a request.
const QUARANTINE_REPORTS: usize = 2;
/// The largest number of crash reports kept for one request: twice those that quarantine it, to leave
/// room for cleared ones.
const MAX_ENTRIES: usize = 2 * QUARANTINE_REPORTS;

impl CrashReportSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a crash report. Returns whether it was new or raised the state of a known crash report.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        let expires = now + report.ttl;
        if let Some(old) = self.entries.iter_mut().find(|e| e.0 == report.site) {
            if report.state <= old.1 {
                return false;
            }
            (old.1, old.3) = (report.state, expires);
            return true;
        }
        if self.entries.len() == MAX_ENTRIES {
            self.drop_weakest();
        }
        self.entries
            .push((report.site.clone(), report.state, now, expires));
        true
    }

    /// Returns the status of the request at `now`. `ttl` is the time for which an unconfirmed
    /// crash report counts whose server's incarnation is unknown, since no report can confirm or
    /// clear it.
    pub fn status(&self, ttl: Duration, now: Timestamp) -> SuspectStatus {
        let counts = |e: &&Entry| match e.1 {
            _ if e.3 <= now => false,
            CrashReportState::Unconfirmed if e.0.incarnation == Incarnation::ZERO => {
                now.since(e.2) < ttl
            }
            CrashReportState::Unconfirmed | CrashReportState::Confirmed => true,
            CrashReportState::Tentative | CrashReportState::Cleared => false,
        };
        match self.entries.iter().filter(counts).count() {
            0 => SuspectStatus::Clear,
            count if count < QUARANTINE_REPORTS => SuspectStatus::Suspect,
            _ => SuspectStatus::Quarantined,
        }
    }

    /// Returns the crash reports that are not cleared, each with its state and the time it was added.
    pub fn active(&self) -> impl Iterator<Item = (&CrashSite, CrashReportState, Timestamp)> {
        let active = self.entries.iter();
        active
            .filter(|e| e.1 != CrashReportState::Cleared)
            .map(|e| (&e.0, e.1, e.2))
    }

    /// Removes expired crash reports. Returns whether any crash report is left.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        self.entries.retain(|e| e.3 > now);
        !self.entries.is_empty()
    }

    /// Removes the crash report with the weakest evidence, and the oldest among equals.
    fn drop_weakest(&mut self) {
        let key = |e: &Entry| match e.1 {
            CrashReportState::Cleared => (0, e.2),
            CrashReportState::Tentative => (1, e.2),
            CrashReportState::Unconfirmed => (2, e.2),
            CrashReportState::Confirmed => (3, e.2),
        };
        let indices = 0..self.entries.len();
        if let Some(index) = indices.min_by_key(|i| key(&self.entries[*i])) {
            self.entries.remove(index);
        }
    }
}
