//! When and how fast a backend server is expected to serve requests.

use super::{Health, ServerState};
use crate::domain::Timestamp;

impl ServerState {
    /// Returns the time from which the server is expected to take requests, not before `now`, or `None` if
    /// it leaves.
    pub fn available_from(&self, now: Timestamp) -> Option<Timestamp> {
        let held = now.max(self.held_until).max(self.next_after_pause());
        match self.health() {
            Health::Live => Some(held),
            Health::Suspect => Some(held.max(self.retry_at)),
            Health::Leaving => None,
        }
    }

    /// Returns whether the server loads weights, or rejects requests as if it did.
    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.held_until
    }

    /// Returns the number of requests per second that the server ends when all its slots are taken.
    pub fn request_rate(&self) -> f64 {
        let time = self.service_time.as_secs_f64().max(f64::EPSILON);
        f64::from(self.server.slots) / time
    }

    /// Returns when a server that failed or rejected a request, asked for a pause or names a limit, is
    /// tried again.
    pub fn retry_at(&self) -> Option<Timestamp> {
        let after_pause = Some(self.next_after_pause());
        match self.health {
            Health::Suspect => after_pause.max(Some(self.retry_at)),
            Health::Live => {
                let held = self.share.paused().max(Some(self.held_until));
                held.max(self.rate.next_request()).max(after_pause)
            }
            Health::Leaving => None,
        }
    }
}
