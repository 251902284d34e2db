//! Refusing requests that wait for a pool whose servers all have outdated weights.

use smallvec::SmallVec;

use super::{Outlook, RetryDecision, Router};
use crate::domain::{Request, ServiceId, Timestamp};
use crate::event::Action;
use crate::route::Policy;

/// The services of which some servers have outdated weights.
type Outlooks = SmallVec<[(ServiceId, Outlook); 4]>;

impl<P: Policy> Router<P> {
    /// Refuses the waiting requests that no server may serve before their deadline because of its weights.
    pub(super) fn refuse_outdated(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let outlooks = self.outlooks(now);
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
        let refusal = |request: &Request, not_run| {
            let wait = outlook_of(request).and_then(|o| o.next_server(now));
            RetryDecision::outdated(not_run, wait)
        };
        self.refuse_waiting(hopeless, refusal, out);
    }

    fn outlooks(&self, now: Timestamp) -> Outlooks {
        let servers = self.dispatcher.servers();
        let services = self.fleet.services.values();
        let outlooks =
            services.filter_map(|s| Some((s.id.clone(), Outlook::new(s, servers, now)?)));
        outlooks.collect()
    }
}
