//! The work that a backend server told of.

use std::time::Duration;

use super::Work;
use crate::domain::{Timestamp, TokenCount};

/// The work that a backend server told of last, in a report or beside an answer.
///
/// Reports come by themselves, so that the last one holds until the next. A sample comes only
/// with an answer, and a server that is taken to be full gets no request that could bring one:
/// what a sample told fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedWork {
    work: Work,
    /// When it was told, if that was beside an answer.
    sampled: Option<Timestamp>,
}

/// How long a sample tells of a server: by then about as many requests have ended as run.
const SAMPLE_LIFE: Duration = Duration::from_secs(1);

impl ReportedWork {
    /// Takes in a report.
    pub const fn report(&mut self, work: Work) {
        self.work = work;
        self.sampled = None;
    }

    /// Takes in the number of requests that was told beside an answer.
    pub const fn sample(&mut self, in_flight: u32, now: Timestamp) {
        self.work.in_flight = in_flight;
        self.sampled = Some(now);
    }

    /// Returns the requests that are left of those that were told of.
    pub fn in_flight(&self, now: Timestamp) -> u32 {
        let Some(at) = self.sampled else {
            return self.work.in_flight;
        };
        let left = SAMPLE_LIFE.saturating_sub(now.since(at)).as_millis();
        let whole = SAMPLE_LIFE.as_millis();
        u32::try_from(u128::from(self.work.in_flight) * left / whole).unwrap_or(u32::MAX)
    }

    /// Returns the prompt tokens that were told of.
    pub const fn pending(&self) -> TokenCount {
        self.work.pending
    }
}
