//! Keeps this entry's requests from a backend server that asked for a pause.

use std::time::Duration;

use super::PauseNotice;
use crate::domain::{Incarnation, PrefixKey, ServerId, Timestamp};
use crate::route::Rendezvous;

/// This entry's hold on a backend server that asked it for a pause.
///
/// The server gets nothing until the pause has ended. Then the entry begins with one request, at a
/// time that differs between entries, and adds one after the other until it may use its share of the
/// slots: other entries' pauses end at the same time.
#[derive(Clone, Copy, Debug)]
pub struct PauseHold {
    /// This entry's place among those that begin again, from 0 to 1.
    phase: f64,
    incarnation: Incarnation,
    until: Timestamp,
    ramp: Duration,
}

/// The longest time from the end of a pause until this entry uses its share of the slots. It is
/// several times the service time of a short request, so that a server that is still full can say so
/// again in time.
const MAX_RAMP: Duration = Duration::from_secs(2);
/// The part of the ramp over which the first requests of the entries are spread.
const SPREAD: f64 = 0.25;

impl PauseHold {
    /// Creates the hold of `server`, which has asked for no pause. `seed` differs between entries.
    pub fn new(seed: u64, server: &ServerId) -> Self {
        let order = Rendezvous::new(PrefixKey::new(u128::from(seed)));
        Self {
            phase: order.fraction(server),
            incarnation: Incarnation::ZERO,
            until: Timestamp::ZERO,
            ramp: Duration::ZERO,
        }
    }

    /// Applies a notice that arrived at `now` from a server whose latest `known` incarnation is
    /// given. Returns whether the hold changes. A notice of an earlier incarnation is ignored, and
    /// so is one that ends before the hold.
    pub fn apply(&mut self, notice: &PauseNotice, known: Incarnation, now: Timestamp) -> bool {
        let incarnation = notice.incarnation.unwrap_or(known);
        let pause = notice.pause.duration();
        if incarnation < known || now + pause <= self.until {
            return false;
        }
        self.incarnation = incarnation;
        self.until = now + pause;
        self.ramp = MAX_RAMP.min(pause);
        true
    }

    /// Ends the hold if the server has restarted since.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation == Incarnation::ZERO {
            // The server asked for the pause before its incarnation was known.
            self.incarnation = incarnation;
        } else if incarnation > self.incarnation {
            (self.until, self.ramp) = (Timestamp::ZERO, Duration::ZERO);
        }
    }

    /// Returns the end of the pause.
    pub const fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns whether the server gets nothing at `now`.
    pub fn holds(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Returns when one more request may be sent to the server if it has `in_flight` requests of
    /// this entry, whose equal share is `slots` slots.
    pub fn next_request(&self, in_flight: u32, slots: u32) -> Timestamp {
        let slots = slots.max(1);
        let spread = self.ramp.mul_f64(SPREAD * self.phase);
        self.until + spread + self.ramp * in_flight.min(slots) / slots
    }
}
