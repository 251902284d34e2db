//! Giving up requests whose time has passed.

use super::{InFlight, RetryDecision, Router};
use crate::domain::{Refusal, Timestamp};
use crate::event::Action;
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Gives up the requests whose deadline or time limit has passed, or that cannot end before the
    /// instance stops.
    pub(super) fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.expire(now, out);
        self.expire_in_flight(now, out);
        for request in self.queues.expire(now) {
            out.push(Action::Refuse(request.id, RetryDecision::deadline_passed()));
        }
        for retry in self.retries.expire(now) {
            out.push(Action::Refuse(retry.request.id, retry.give_up()));
        }
        self.give_up_unfinished(now, out);
    }

    /// Cancels the requests in flight whose time limit has passed.
    fn expire_in_flight(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(flight) = self.dispatcher.expire(now) {
            self.give_up_in_flight(&flight, RetryDecision::time_limit_passed(), out);
        }
    }

    /// Cancels the current attempt of a request that is no longer tracked and refuses the request.
    pub(super) fn give_up_in_flight(
        &mut self,
        flight: &InFlight,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.claims.fail(&flight.timeout_failure(), out);
        self.queues.mark_dirty(&flight.pool);
        out.push(Action::Cancel(flight.attempt));
        out.push(Action::Refuse(flight.attempt.id, refusal));
    }
}
