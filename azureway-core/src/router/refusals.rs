//! Refusing requests that wait although they cannot be served in time.

use super::Router;
use crate::domain::{Refusal, Request, Timestamp};
use crate::event::{Action, Event};
use crate::route::Policy;

impl<P: Policy> Router<P> {
    /// Refuses the waiting requests that cannot be served in time after `event`. Streams that have begun
    /// go on waiting: a new server may still resume them, and nobody else can.
    pub(super) fn refuse_hopeless(
        &mut self,
        event: Event<'_>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        // The most frequent events hold no server and end no weights, and what arrives has been checked.
        let frequent = matches!(
            event,
            Event::Arrived(_) | Event::Started(_) | Event::Finished(_) | Event::Cache(_)
        );
        let waiting = !self.queues.is_empty() || !self.retries.is_empty();
        if waiting && !frequent {
            self.refuse_paused(now, out);
            self.refuse_outdated(now, out);
        }
    }

    /// Refuses the `hopeless` ones of the waiting requests. `refusal` is told whether a request cannot have
    /// run.
    pub(super) fn refuse_waiting(
        &mut self,
        hopeless: impl Fn(&Request) -> bool,
        refusal: impl Fn(&Request, bool) -> Refusal,
        out: &mut Vec<Action>,
    ) {
        let queued = self.queues.remove_if(|q| hopeless(&q.request));
        let queued = queued.into_iter().map(|q| (q.request, q.plan.not_run));
        let retries = self.retries.remove_fresh(|r| hopeless(&r.request));
        let retries = retries.into_iter().map(|r| (r.request, r.plan.not_run));
        for (request, not_run) in queued.chain(retries) {
            out.push(Action::Refuse(request.id, refusal(&request, not_run)));
        }
    }
}
