//! The timer by which the membership requests all updates of a peer instead of only recent ones.

use std::time::Duration;

use crate::domain::Timestamp;

/// Decides when to request a full sync: at the start, after a pause, and when digests keep
/// differing.
#[derive(Clone, Debug)]
pub struct SyncTimer {
    needed: bool,
    last_request: Option<Timestamp>,
    mismatches: u32,
}

/// The number of consecutive replies with a different digest that requests a full sync. Fewer
/// may be due to updates that are still in flight.
const MISMATCHES_MAX: u32 = 4;

impl SyncTimer {
    /// Creates the timer of an instance that has received no update yet.
    pub const fn new() -> Self {
        Self {
            needed: true,
            last_request: None,
            mismatches: 0,
        }
    }

    /// Requests a full sync with the next heartbeat.
    pub const fn request(&mut self) {
        self.needed = true;
        self.last_request = None;
    }

    /// Records a reply: whether it was a full sync, and whether its digest was the same.
    pub const fn record_reply(&mut self, full: bool, same: bool) {
        self.needed = self.needed && !full;
        self.mismatches = if same { 0 } else { self.mismatches + 1 };
        if self.mismatches >= MISMATCHES_MAX {
            self.mismatches = 0;
            self.needed = true;
        }
    }

    /// Returns whether the next heartbeat requests a full sync, at most once per `period`, and
    /// records that it does.
    pub fn start_if_due(&mut self, period: Duration, now: Timestamp) -> bool {
        let early = self.last_request.is_some_and(|t| now.since(t) < period);
        if !self.needed || early {
            return false;
        }
        self.last_request = Some(now);
        true
    }
}

impl Default for SyncTimer {
    fn default() -> Self {
        Self::new()
    }
}
