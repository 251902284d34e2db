//! A crash report of one subject, as it is stored.

use std::time::Duration;

use super::{CrashReport, CrashReportState, CrashSite};
use crate::domain::{Incarnation, Timestamp};

/// A crash report, with the times between which it counts.
#[derive(Clone, Debug)]
pub struct StoredReport {
    /// The server that failed, and its incarnation.
    pub site: CrashSite,
    /// The state of the evidence.
    pub state: CrashReportState,
    /// The time at which the report was added.
    pub added: Timestamp,
    /// The time at which the report expires.
    pub expires: Timestamp,
}

/// The time for which an unconfirmed crash report for an unknown incarnation counts. No report of
/// the server can confirm or clear it.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(60);

impl StoredReport {
    /// Creates the stored form of a report that was received at `now`.
    pub fn new(report: &CrashReport, now: Timestamp) -> Self {
        Self {
            site: report.site.clone(),
            state: report.state,
            added: now,
            expires: now + report.ttl,
        }
    }

    /// Merges a report for the same site. Returns whether it has more evidence than this one.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        if report.state <= self.state {
            return false;
        }
        (self.state, self.expires) = (report.state, now + report.ttl);
        true
    }

    /// Returns whether the report counts at `now`.
    ///
    /// An unconfirmed crash report for an unknown incarnation counts only for a short time, since
    /// no report of the server can confirm or clear it.
    pub fn counts(&self, now: Timestamp) -> bool {
        match self.state {
            _ if self.expires <= now => false,
            CrashReportState::Unconfirmed if self.site.incarnation == Incarnation::ZERO => {
                now.since(self.added) < UNCONFIRMED_TTL
            }
            CrashReportState::Unconfirmed | CrashReportState::Confirmed => true,
            CrashReportState::Tentative | CrashReportState::Cleared => false,
        }
    }
}
