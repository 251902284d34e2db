//! Records what failures tell of the state of a backend server.

use std::time::Duration;

use super::{Health, ServerState};
use crate::domain::{Incarnation, Timestamp};
use crate::event::{Failure, FailureKind};

/// The time for which a server gets no requests after a failure.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which a server gets no requests after it rejected one in spite of free slots. It
/// is about the time that loading weights takes.
const REJECTION_HOLD: Duration = Duration::from_millis(500);

impl ServerState {
    /// Records a failure at `now`. Returns whether the cached blocks known for the server are
    /// invalid.
    pub fn record_failure(&mut self, failure: &Failure, now: Timestamp) -> bool {
        match failure.kind {
            // The weights have changed since they were listed, or this is another server.
            FailureKind::Mismatch if self.server.listed.is_some() => {
                return match self.weights.take() {
                    Some(_) => true,
                    None => {
                        self.mark_suspect(now);
                        false
                    }
                };
            }
            FailureKind::Mismatch => {
                let known = self.incarnation > Incarnation::ZERO;
                self.incarnation = Incarnation::ZERO;
                return known;
            }
            // A rejection in spite of free slots: the server loads weights or is about to drain.
            FailureKind::Busy if failure.is_capacity_rejection() && self.has_free_slots(now) => {
                self.held_until = now + REJECTION_HOLD;
            }
            FailureKind::Busy if failure.is_capacity_rejection() => {
                self.share.record_rejection(self.in_flight(), now)
            }
            // A silent connection is no evidence against the server: a middlebox may have dropped
            // the connection while new ones work.
            FailureKind::Busy
            | FailureKind::Silent
            | FailureKind::Recalled
            | FailureKind::Declined => {}
            FailureKind::Unreachable | FailureKind::Broken | FailureKind::Faulty => {
                self.mark_suspect(now);
            }
        }
        false
    }

    fn mark_suspect(&mut self, now: Timestamp) {
        if self.health != Health::Leaving {
            self.health = Health::Suspect;
            self.retry_at = now + SUSPECT_TIMEOUT;
        }
    }
}
