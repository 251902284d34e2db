//! Keeps the load that a backend server last stated, and lets that of a sample decay.

use std::time::Duration;

use super::Work;
use crate::domain::{Timestamp, TokenCount};

/// The work that a backend server last reported, in a load report or in a sample.
///
/// Reports arrive periodically, so the last one holds until the next. A sample arrives only with
/// an answer, and a server that seems full gets no request that could bring a new one. The load
/// of a sample therefore decays to zero over `SAMPLE_LIFETIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedWork {
    work: Work,
    /// The time of the sample, if the load came from one.
    sampled: Option<Timestamp>,
}

/// The time over which the load of a sample decays to zero. By its end about as many requests
/// have ended as were running.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(1);

impl ReportedWork {
    /// Sets the work from a load report.
    pub const fn report(&mut self, work: Work) {
        self.work = work;
        self.sampled = None;
    }

    /// Sets the number of requests from a sample taken at `now`.
    pub const fn sample(&mut self, in_flight: u32, now: Timestamp) {
        self.work.in_flight = in_flight;
        self.sampled = Some(now);
    }

    /// Returns the number of requests at the server, decayed if it came from a sample.
    pub fn in_flight(&self, now: Timestamp) -> u32 {
        let Some(at) = self.sampled else {
            return self.work.in_flight;
        };
        let remaining = SAMPLE_LIFETIME.saturating_sub(now.since(at)).as_millis();
        let lifetime = SAMPLE_LIFETIME.as_millis();
        u32::try_from(u128::from(self.work.in_flight) * remaining / lifetime).unwrap_or(u32::MAX)
    }

    /// Returns the last reported prompt tokens still to be computed.
    pub const fn pending(&self) -> TokenCount {
        self.work.pending
    }
}
