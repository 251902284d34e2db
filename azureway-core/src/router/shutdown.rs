//! Giving up the requests that cannot end before the instance stops.

use super::Router;
use crate::domain::{Refusal, RefusalReason, Request, Timestamp};
use crate::event::Action;
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Refuses new requests from now on, and gives up unfinished ones at `end`.
    pub(super) const fn close(&mut self, end: Timestamp) {
        self.draining = true;
        self.closing = Some(end);
    }

    /// Refuses the waiting requests that may not end before the instance stops, and at its end all
    /// requests. A stream that has begun is resumed until then.
    pub(super) fn give_up_unfinished(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(end) = self.closing else {
            return;
        };
        let over = now >= end;
        let outlasts = |r: &Request| over || r.time_limit.is_none_or(|limit| limit > end);
        let queued = self.queues.remove_if(|q| outlasts(&q.request));
        let queued = queued.into_iter().map(|q| (q.request.id, q.plan.not_run));
        let retries = match over {
            true => self.retries.take(),
            false => self.retries.remove_fresh(|r| outlasts(&r.request)),
        };
        let retries = retries.into_iter().map(|r| (r.request.id, r.plan.not_run));
        for (id, not_run) in queued.chain(retries) {
            out.push(Action::Refuse(id, refusal(not_run)));
        }
        if over {
            self.give_up_all_in_flight(now, out);
        }
    }

    /// Cancels the requests in flight and refuses the ones that wait for a claim.
    fn give_up_all_in_flight(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let in_flight = self.dispatcher.in_flight().iter();
        let ids: Vec<_> = in_flight.map(|f| f.attempt.id).collect();
        for id in ids {
            if let Some(flight) = self.dispatcher.remove(id, now) {
                self.give_up_in_flight(&flight, refusal(false), out);
            }
        }
        self.claims.expire(Timestamp::MAX, out);
    }
}

fn refusal(not_run: bool) -> Refusal {
    let detail = "the instance stops before the answer would be complete";
    Refusal::new(RefusalReason::Draining, not_run, detail)
}
