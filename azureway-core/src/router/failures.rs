//! Handling of attempts that failed.

use super::{InFlight, Retry, RetryDecision, Router};
use crate::admit::QueuedRequest;
use crate::domain::Timestamp;
use crate::event::{Action, Failure};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    pub(super) fn fail(&mut self, failure: &Failure, now: Timestamp, out: &mut Vec<Action>) {
        self.claims.fail(failure, out);
        self.keep_charge(failure);
        let Some((flight, cache_lost)) = self.dispatcher.fail(failure, now) else {
            return;
        };
        self.queues.mark_dirty(&flight.pool);
        if cache_lost {
            out.push(Action::Resync(flight.server.clone()));
        }
        let decision = self.decide_retry(&flight, failure, now, out);
        match self.limit_recalled(decision, &flight, failure, now) {
            RetryDecision::Retry => self.retries.push(Retry::new(flight, failure, now)),
            RetryDecision::Requeue => self.requeue(flight, now, out),
            RetryDecision::Refuse(refusal) => out.push(Action::Refuse(failure.attempt.id, refusal)),
        }
    }

    /// Requeues a request that a server rejected for lack of capacity.
    fn requeue(&mut self, flight: InFlight, now: Timestamp, out: &mut Vec<Action>) {
        // Where all entries share the retry budget, capacity rejections are charged to it too.
        if self.budgets.is_shared() && !self.budgets.for_pool(&flight.pool, now).try_spend() {
            let refusal = RetryDecision::give_up(false, true);
            return out.push(Action::Refuse(flight.attempt.id, refusal));
        }
        let account = self.fleet.accounts.get(&flight.request.account);
        let weight = account.map_or(1, |a| a.weight);
        let (pool, plan) = (flight.pool.clone(), flight.requeue_plan());
        let queued = QueuedRequest::with_plan(flight.request, weight, plan);
        self.queues.push(pool, queued, now);
    }
}
