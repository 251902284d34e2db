//! Sparing a platform that does not answer.

use std::time::Duration;

use super::ClaimHandle;
use crate::domain::Timestamp;
use crate::retry::Backoff;

/// Spares a platform that does not answer: after some failures in a row only a claim now and
/// then is asked for, and the others are refused at once.
#[derive(Clone, Debug)]
pub struct ClaimBreaker {
    failures: u32,
    backoff: Backoff,
    due: Timestamp,
    doubtful: Vec<ClaimHandle>,
}

/// The failures in a row after which claims are spared.
const FAILURES_MAX: u32 = 3;
/// The first wait between two claims that are asked for.
const BACKOFF_BASE: Duration = Duration::from_millis(500);
/// The longest wait between two claims that are asked for.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// The claims in doubt that are remembered. Beyond that they stay open until they are swept.
const DOUBTFUL_MAX: usize = 64;

impl ClaimBreaker {
    /// Creates an open gate.
    pub const fn new() -> Self {
        Self {
            failures: 0,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, 0),
            due: Timestamp::ZERO,
            doubtful: Vec::new(),
        }
    }

    /// Tells whether a claim may be asked for at `now`.
    pub fn allows(&mut self, now: Timestamp) -> bool {
        if self.failures < FAILURES_MAX {
            return true;
        }
        let due = now >= self.due;
        if due {
            self.due = now + self.backoff.next_delay();
        }
        due
    }

    /// Notes that the platform did not answer, and a claim that may have been written.
    pub fn record_failure(&mut self, ticket: ClaimHandle, now: Timestamp) {
        if self.failures == 0 {
            // The names differ between entries, and so does the jitter.
            let seed = u64::from(ticket.name.shard()) << 32 | ticket.id.sequence();
            self.backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
            self.due = now;
        }
        self.failures = self.failures.saturating_add(1);
        if self.doubtful.len() < DOUBTFUL_MAX {
            self.doubtful.push(ticket);
        }
    }

    /// Notes that the platform answered. Returns the claims that are now to be given back.
    pub fn record_answer(&mut self) -> Vec<ClaimHandle> {
        self.failures = 0;
        std::mem::take(&mut self.doubtful)
    }
}

impl Default for ClaimBreaker {
    fn default() -> Self {
        Self::new()
    }
}
