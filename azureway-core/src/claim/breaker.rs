//! A circuit breaker for claims while the platform does not answer.

use std::time::Duration;

use super::ClaimHandle;
use crate::domain::Timestamp;
use crate::retry::Backoff;

/// A circuit breaker for claims.
///
/// After several consecutive failures it lets only one claim per backoff delay through, as a
/// probe, and the others are refused at once.
#[derive(Clone, Debug)]
pub struct ClaimBreaker {
    failures: u32,
    backoff: Backoff,
    next_probe: Timestamp,
    uncertain: Vec<ClaimHandle>,
}

/// The number of consecutive failures that open the breaker.
const MAX_FAILURES: u32 = 3;
/// The first delay between two probes.
const BACKOFF_BASE: Duration = Duration::from_millis(500);
/// The longest delay between two probes.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// The largest number of uncertain claims to remember for release. Further ones stay open in the
/// platform until the sweep deletes them.
const MAX_UNCERTAIN: usize = 64;

impl ClaimBreaker {
    /// Creates a closed breaker, which lets every claim through.
    pub const fn new() -> Self {
        Self {
            failures: 0,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, 0),
            next_probe: Timestamp::ZERO,
            uncertain: Vec::new(),
        }
    }

    /// Returns whether a claim may be requested at `now`.
    pub fn allows(&mut self, now: Timestamp) -> bool {
        if self.failures < MAX_FAILURES {
            return true;
        }
        let due = now >= self.next_probe;
        if due {
            self.next_probe = now + self.backoff.next_delay();
        }
        due
    }

    /// Records that the platform did not answer, and the claim that it may have written.
    pub fn record_failure(&mut self, handle: ClaimHandle, now: Timestamp) {
        if self.failures == 0 {
            // Claim names differ between entries, so the seeds of their jitter differ too.
            let seed = u64::from(handle.name.shard()) << 32 | handle.id.sequence();
            self.backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
            self.next_probe = now;
        }
        self.failures = self.failures.saturating_add(1);
        if self.uncertain.len() < MAX_UNCERTAIN {
            self.uncertain.push(handle);
        }
    }

    /// Records that the platform answered. Returns the uncertain claims to release.
    pub fn record_answer(&mut self) -> Vec<ClaimHandle> {
        self.failures = 0;
        std::mem::take(&mut self.uncertain)
    }
}

impl Default for ClaimBreaker {
    fn default() -> Self {
        Self::new()
    }
}
