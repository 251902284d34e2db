//! This entry's own work at a backend server, by age.

use std::time::Duration;

use super::Work;
use crate::domain::{Timestamp, TokenCount};

/// The time by which a report lags at most: younger work may be missing from it.
const LAG_MAX: Duration = Duration::from_millis(500);

/// This entry's own work at a backend server, split by whether a report can hold it.
///
/// Work is noted in the current period. A period ends with the first report that comes
/// `LAG_MAX` after its start, so that work of an earlier period than the last one is
/// older than the lag of any report, and only the last two can be missing from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWork {
    period: u64,
    since: Timestamp,
    recent: [Work; 2],
    old: Work,
}

impl LocalWork {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a report came at `now`.
    pub fn roll(&mut self, now: Timestamp) {
        if now.since(self.since) < LAG_MAX {
            return;
        }
        self.since = now;
        self.period += 1;
        self.old.add(self.recent[1]);
        self.recent = [Work::default(), self.recent[0]];
    }

    /// Notes a request with `owed` prompt tokens to compute, and returns its period.
    pub fn begin(&mut self, owed: TokenCount) -> u64 {
        self.recent[0].add(Work {
            in_flight: 1,
            pending: owed,
        });
        self.period
    }

    /// Notes that `owed` prompt tokens of a request of `period` are computed or will not be.
    pub fn finish_prefill(&mut self, period: u64, owed: TokenCount) {
        let work = self.of(period);
        work.pending = work.pending.saturating_sub(owed);
    }

    /// Notes that a request of `period` has ended.
    pub fn end(&mut self, period: u64) {
        let work = self.of(period);
        work.in_flight = work.in_flight.saturating_sub(1);
    }

    /// Returns the work that a report may not hold yet.
    pub fn unseen(&self) -> Work {
        self.recent[0].plus(self.recent[1])
    }

    /// Returns the work that every report holds.
    pub const fn seen(&self) -> Work {
        self.old
    }

    /// Returns all work.
    pub fn total(&self) -> Work {
        self.old.plus(self.unseen())
    }

    fn of(&mut self, period: u64) -> &mut Work {
        match self.period.saturating_sub(period) {
            0 => &mut self.recent[0],
            1 => &mut self.recent[1],
            _ => &mut self.old,
        }
    }
}
