//! Determines from failed calls until when the platform was disturbed.

use std::time::Duration;

use super::{AnsweredCall, Disturbance};
use crate::domain::Timestamp;
use crate::error::ErrorKind;

/// Observes disturbances of the platform through the calls of one duty.
///
/// A call also fails if this process was paused while it waited, which disturbs nobody else. So a
/// disturbance takes several failures in a row, and a call that did not end when one of its time-outs
/// ran out does not count.
#[derive(Clone, Copy, Debug)]
pub struct DisturbanceMeter {
    /// The time for which the platform may be silent.
    timeout: Duration,
    failures: u32,
    first: Timestamp,
    last: Timestamp,
    restored: bool,
}

/// The number of failures in a row that show a disturbance. A single answer can be lost.
const MIN_FAILURES: u32 = 2;

impl DisturbanceMeter {
    /// Creates a meter without failures. `timeout` is the time for which the platform may be silent,
    /// both when a connection is opened and when an answer is awaited.
    pub const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            failures: 0,
            first: Timestamp::ZERO,
            last: Timestamp::ZERO,
            restored: false,
        }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, kind: ErrorKind, call: &AnsweredCall) {
        match kind {
            ErrorKind::Restored => self.restored = true,
            // The platform may limit this entry alone, without a disturbance.
            ErrorKind::Unavailable if call.failed_on_time(self.timeout) => {
                if self.failures == 0 {
                    self.first = call.started;
                }
                self.failures += 1;
                self.last = call.started;
            }
            _ => {}
        }
    }

    /// Records an answered call. Returns the disturbance that it ends, if there was one.
    pub fn record_success(&mut self) -> Option<Disturbance> {
        let ended = Disturbance {
            since: self.first,
            until: self.last,
            restored: self.restored,
        };
        let observed = self.failures >= MIN_FAILURES;
        (self.failures, self.restored) = (0, false);
        observed.then_some(ended)
    }
}
