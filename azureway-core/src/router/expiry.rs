//! Giving up requests whose time has passed.

use super::{RetryDecision, Router};
use crate::domain::Timestamp;
use crate::event::Action;
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Gives up the requests whose deadline or time limit has passed.
    pub(super) fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.expire(now, out);
        self.expire_in_flight(now, out);
        for request in self.queues.expire(now) {
            out.push(Action::Refuse(request.id, RetryDecision::deadline_passed()));
        }
        for retry in self.retries.expire(now) {
            out.push(Action::Refuse(retry.request.id, retry.give_up()));
        }
    }

    /// Cancels the requests in flight whose time limit has passed.
    fn expire_in_flight(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(flight) = self.dispatcher.expire(now) {
            self.claims.fail(&flight.timeout_failure(), out);
            self.queues.mark_dirty(&flight.pool);
            out.push(Action::Cancel(flight.attempt));
            let refusal = RetryDecision::time_limit_passed();
            out.push(Action::Refuse(flight.attempt.id, refusal));
        }
    }
}
