//! Refusing requests that wait for a pool whose servers all have outdated weights.

use smallvec::SmallVec;

use super::{Outlook, RetryDecision, Router};
use crate::domain::{Request, ServiceId, Timestamp};
use crate::event::{Action, Event};
use crate::route::Policy;

/// The services of which some servers have outdated weights.
type Outlooks = SmallVec<[(ServiceId, Outlook); 4]>;

impl<P: Policy> Router<P> {
    /// Refuses the waiting requests, after `event`, that no server may serve before their deadline because
    /// of its weights. Streams that have begun go on waiting, since nobody else can resume them.
    pub(super) fn refuse_outdated(
        &mut self,
        event: Event<'_>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let outlooks = match event {
            // The most frequent events end no weights, and what arrives has been checked.
            Event::Arrived(_) | Event::Started(_) | Event::Finished(_) | Event::Cache(_) => return,
            _ => self.outlooks(now),
        };
        if outlooks.is_empty() {
            return;
        }
        let outlook_of = |request: &Request| {
            let found = outlooks.iter().find(|(id, _)| *id == request.service);
            found.map(|(_, outlook)| outlook)
        };
        let hopeless = |request: &Request| {
            let deadline = request.deadline.timestamp();
            outlook_of(request).is_some_and(|o| !o.allows(0, deadline))
        };
        let queued = self.queues.remove_if(|q| hopeless(&q.request));
        let queued = queued.into_iter().map(|q| (q.request, q.plan.not_run));
        let retries = self.retries.remove_fresh(|r| hopeless(&r.request));
        let retries = retries.into_iter().map(|r| (r.request, r.plan.not_run));
        for (request, not_run) in queued.chain(retries) {
            let wait = outlook_of(&request).and_then(|o| o.next_server(now));
            out.push(Action::Refuse(
                request.id,
                RetryDecision::outdated(not_run, wait),
            ));
        }
    }

    fn outlooks(&self, now: Timestamp) -> Outlooks {
        if self.queues.is_empty() && self.retries.is_empty() {
            return Outlooks::new();
        }
        let servers = self.dispatcher.servers();
        let services = self.fleet.services.values();
        let outlooks =
            services.filter_map(|s| Some((s.id.clone(), Outlook::new(s, servers, now)?)));
        outlooks.collect()
    }
}
