//! Derives the status of a request or a part of prompts from the crash reports about it.

use smallvec::SmallVec;

use super::{CrashReport, CrashReportState, CrashSite, CrashSubject, StoredReport, SuspectStatus};
use crate::domain::Timestamp;

/// The crash reports of one subject, at most one for each site.
#[derive(Clone, Debug, Default)]
pub struct CrashReportSet {
    reports: SmallVec<[StoredReport; 2]>,
}

/// The number of crash reports that quarantine a request.
const QUARANTINE_REPORTS: usize = 2;
/// The largest number of crash reports kept for one subject. It leaves room for cleared reports
/// beside those that quarantine a subject.
const MAX_REPORTS: usize = 8;

impl CrashReportSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a crash report. Returns whether it was new or has more evidence than a known one.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        if let Some(old) = self.reports.iter_mut().find(|r| r.site == report.site) {
            return old.merge(report, now);
        }
        if self.reports.len() == MAX_REPORTS {
            self.drop_weakest();
        }
        self.reports.push(StoredReport::new(report, now));
        true
    }

    /// Returns the status of the request at `now`.
    pub fn status(&self, now: Timestamp) -> SuspectStatus {
        match self.counted(now).count() {
            0 => SuspectStatus::Clear,
            count if count < QUARANTINE_REPORTS => SuspectStatus::Suspect,
            _ => SuspectStatus::Quarantined,
        }
    }

    /// Returns the sites of the crash reports that count at `now`.
    pub fn counted(&self, now: Timestamp) -> impl Iterator<Item = &CrashSite> {
        let counted = self.reports.iter().filter(move |r| r.counts(now));
        counted.map(|r| &r.site)
    }

    /// Returns the crash reports about `subject`, which the set belongs to, that count at `now`.
    pub fn reports(
        &self,
        subject: CrashSubject,
        now: Timestamp,
    ) -> impl Iterator<Item = CrashReport> {
        let counted = self.reports.iter().filter(move |r| r.counts(now));
        counted
            .map(move |r| CrashReport::new(subject, r.site.clone(), r.state, r.expires.since(now)))
    }

    /// Returns the site, the state and the time of addition of each report that is not cleared.
    pub fn active(&self) -> impl Iterator<Item = (&CrashSite, CrashReportState, Timestamp)> {
        let active = self.reports.iter();
        active
            .filter(|r| r.state != CrashReportState::Cleared)
            .map(|r| (&r.site, r.state, r.added))
    }

    /// Removes expired crash reports. Returns whether any crash report is left.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        self.reports.retain(|r| r.expires > now);
        !self.reports.is_empty()
    }

    /// Removes the crash report with the weakest evidence, and the oldest among equals.
    fn drop_weakest(&mut self) {
        let rank = |r: &StoredReport| match r.state {
            CrashReportState::Cleared => 0,
            CrashReportState::Tentative => 1,
            CrashReportState::Unconfirmed => 2,
            CrashReportState::Confirmed => 3,
        };
        let key = |r: &StoredReport| (rank(r), r.added);
        let indices = 0..self.reports.len();
        if let Some(index) = indices.min_by_key(|i| key(&self.reports[*i])) {
            self.reports.remove(index);
        }
    }
}
