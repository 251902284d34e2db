//! The work that this entry has sent to a backend server, by age.

use std::time::Duration;

use super::Work;
use crate::domain::{Timestamp, TokenCount};

/// The maximum lag of a load report. Requests younger than this may be missing from it.
const MAX_REPORT_LAG: Duration = Duration::from_millis(500);

/// The work that this entry has in flight at a backend server, split by whether a load report
/// can already include it.
///
/// Each request is recorded in the current period. A period ends with the first report that
/// arrives at least `MAX_REPORT_LAG` after its start. Work older than the last two periods is
/// thus older than the lag of any report, and only the last two periods can be missing from one.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWork {
    period: u64,
    started: Timestamp,
    recent: [Work; 2],
    old: Work,
}

impl LocalWork {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a report arrived at `now`, which may start a new period.
    pub fn rotate(&mut self, now: Timestamp) {
        if now.since(self.started) < MAX_REPORT_LAG {
            return;
        }
        self.started = now;
        self.period += 1;
        self.old.add(self.recent[1]);
        self.recent = [Work::default(), self.recent[0]];
    }

    /// Records a request with `pending` prompt tokens to compute, and returns its period.
    pub fn begin(&mut self, pending: TokenCount) -> u64 {
        self.recent[0].add(Work {
            in_flight: 1,
            pending,
        });
        self.period
    }

    /// Records that `tokens` prompt tokens of a request of `period` are computed or no longer
    /// needed.
    pub fn finish_prefill(&mut self, period: u64, tokens: TokenCount) {
        let work = self.work_mut(period);
        work.pending = work.pending.saturating_sub(tokens);
    }

    /// Records that a request of `period` has ended.
    pub fn end(&mut self, period: u64) {
        let work = self.work_mut(period);
        work.in_flight = work.in_flight.saturating_sub(1);
    }

    /// Returns the work that a report may not include yet.
    pub fn unreported(&self) -> Work {
        self.recent[0].plus(self.recent[1])
    }

    /// Returns the work that every report includes.
    pub const fn reported(&self) -> Work {
        self.old
    }

    /// Returns all work in flight.
    pub fn total(&self) -> Work {
        self.old.plus(self.unreported())
    }

    fn work_mut(&mut self, period: u64) -> &mut Work {
        match self.period.saturating_sub(period) {
            0 => &mut self.recent[0],
            1 => &mut self.recent[1],
            _ => &mut self.old,
        }
    }
}
