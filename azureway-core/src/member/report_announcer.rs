//! Collects crash reports about parts of prompts for announcements to all peers.

use std::time::Duration;

use super::GossipUpdate;
use crate::domain::Timestamp;
use crate::quarantine::{CrashReport, CrashReportState};

/// The crash reports that are waiting for the next announcement to all peers.
///
/// A crash breaks many requests at the same moment, so reports are announced together. Reports that
/// clear a part are announced later, since only few of them make a difference.
#[derive(Clone, Debug, Default)]
pub struct ReportAnnouncer {
    pending: Vec<CrashReport>,
    /// The time of the next announcement if any report is pending.
    due: Timestamp,
    /// The time of the last announcement.
    last: Timestamp,
}

/// The shortest time between two announcements.
const MIN_GAP: Duration = Duration::from_millis(50);
/// The longest time for which a report that clears a part waits.
const CLEARED_DELAY: Duration = Duration::from_secs(1);
/// The largest number of reports that wait. Beyond it, the oldest is dropped.
const MAX_PENDING: usize = 128;

impl ReportAnnouncer {
    /// Creates an announcer without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a report to the next announcement.
    pub fn push(&mut self, report: &CrashReport, now: Timestamp) {
        let delay = match report.state {
            CrashReportState::Cleared => CLEARED_DELAY,
            _ => Duration::ZERO,
        };
        let due = (now + delay).max(self.last + MIN_GAP);
        self.due = match self.pending.is_empty() {
            true => due,
            false => due.min(self.due),
        };
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(report.clone());
    }

    /// Returns the time of the next announcement, if any report is pending.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        (!self.pending.is_empty()).then_some(self.due)
    }

    /// Removes and returns the reports of an announcement that is due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<GossipUpdate> {
        if self.next_wakeup().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.last = now;
        let reports = std::mem::take(&mut self.pending).into_iter();
        reports.map(GossipUpdate::CrashReport).collect()
    }
}
