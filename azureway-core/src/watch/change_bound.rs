//! The earliest time at which a change can have happened that the platform reports.

use super::AnsweredCall;
use crate::domain::Timestamp;

/// Bounds how long ago the changes in an answer of the platform happened.
///
/// An answer can be read long after the platform sent it, if the path there or this process was
/// held up. So the time at which an answer is read says nothing about when its changes happened.
/// They happened after the time up to which earlier answers have reported every change.
#[derive(Clone, Copy, Debug)]
pub struct ChangeBound {
    reported_until: Timestamp,
}

impl ChangeBound {
    /// Creates the bound of a process that has no answer yet. What the first answer reports counts
    /// as having happened at `since` at the earliest.
    pub const fn new(since: Timestamp) -> Self {
        Self {
            reported_until: since,
        }
    }

    /// Returns the time until which answers have reported every change.
    pub const fn reported_until(&self) -> Timestamp {
        self.reported_until
    }

    /// Records an answer, which reports `changes` changes. Returns the earliest time at which they
    /// can have happened.
    pub fn record(&mut self, call: &AnsweredCall, changes: usize) -> Timestamp {
        let earliest = self.reported_until;
        let wait_end = call.started + call.wait;
        // The platform reports nothing only after the whole wait, so the answer includes every
        // change until then. A watch that was cut off ends sooner, and one that was read late may
        // have been cut off.
        let on_time = call.answered >= wait_end && !call.is_late();
        let waited = changes == 0 && on_time;
        let until = if waited { wait_end } else { call.started };
        self.reported_until = earliest.max(until);
        earliest
    }

    /// Records an answer of a peer that knows every change until `until`, by this entry's clock. The peer may
    /// also know that the changes in it happened no earlier than at `since`. Returns the earliest time at which
    /// they can have happened.
    pub fn record_relayed(&mut self, until: Timestamp, since: Option<Timestamp>) -> Timestamp {
        let reported = self.reported_until;
        self.reported_until = reported.max(until);
        since.map_or(reported, |since| since.max(reported))
    }
}
