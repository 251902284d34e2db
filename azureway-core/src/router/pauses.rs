//! Handling of backend servers that ask this entry for a pause.

use smallvec::SmallVec;

use super::{RetryDecision, Router};
use crate::domain::{Request, ServiceId, Timestamp};
use crate::event::{Action, Event};
use crate::fleet::PauseNotice;
use crate::route::Policy;

/// The services whose servers are all held, with the time at which the first of them is used again.
type HeldServices = SmallVec<[(ServiceId, Timestamp); 4]>;

impl<P: Policy> Router<P> {
    /// Holds a server that asked this entry for a pause.
    pub(super) fn apply_pause(&mut self, notice: &PauseNotice, now: Timestamp) {
        self.dispatcher.servers_mut().apply_pause(notice, now);
    }

    /// Refuses waiting requests that cannot be served in time, after `event`, because every server of
    /// their pool is held. Streams that have begun go on waiting: a new server may still resume them,
    /// and nobody else can.
    pub(super) fn refuse_paused(
        &mut self,
        event: Event<'_>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let held = match event {
            // The most frequent events hold no server, and what arrives has been checked.
            Event::Arrived(_) | Event::Started(_) | Event::Finished(_) | Event::Cache(_) => return,
            _ => self.held_services(now),
        };
        if held.is_empty() {
            return;
        }
        let end_of = |request: &Request| {
            let service = held.iter().find(|(id, _)| *id == request.service);
            service.map(|(_, end)| *end)
        };
        let hopeless = |request: &Request| {
            end_of(request).is_some_and(|end| request.deadline.timestamp() < end)
        };
        let queued = self.queues.remove_if(|q| hopeless(&q.request));
        let queued = queued.into_iter().map(|q| (q.request, q.plan.not_run));
        let retries = self.retries.remove_fresh(|r| hopeless(&r.request));
        let retries = retries.into_iter().map(|r| (r.request, r.plan.not_run));
        for (request, not_run) in queued.chain(retries) {
            let wait = end_of(&request).unwrap_or(now).since(now);
            let refusal = RetryDecision::paused(not_run, wait);
            out.push(Action::Refuse(request.id, refusal));
        }
    }

    fn held_services(&self, now: Timestamp) -> HeldServices {
        let servers = self.dispatcher.servers();
        let waiting = !self.queues.is_empty() || !self.retries.is_empty();
        if !waiting || !servers.has_pauses(now) {
            return HeldServices::new();
        }
        let services = self.fleet.services.values();
        let held = services.filter_map(|s| Some((s.id.clone(), servers.pause_end(&s.pool, now)?)));
        held.collect()
    }
}
