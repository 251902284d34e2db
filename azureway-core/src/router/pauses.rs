//! Handling of backend servers that ask this entry for a pause.

use smallvec::SmallVec;

use super::{RetryDecision, Router};
use crate::domain::{Request, ServiceId, Timestamp};
use crate::event::Action;
use crate::fleet::PauseNotice;
use crate::route::Policy;

/// The services whose servers are all held, with the time at which the first of them is used again.
type HeldServices = SmallVec<[(ServiceId, Timestamp); 4]>;

impl<P: Policy> Router<P> {
    /// Holds a server that asked this entry for a pause.
    pub(super) fn apply_pause(&mut self, notice: &PauseNotice, now: Timestamp) {
        self.dispatcher.servers_mut().apply_pause(notice, now);
    }

    /// Refuses waiting requests that cannot be served in time, because every server of their pool is
    /// held.
    pub(super) fn refuse_paused(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let held = self.held_services(now);
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
        let refusal = |request: &Request, not_run| {
            let wait = end_of(request).unwrap_or(now).since(now);
            RetryDecision::paused(not_run, wait)
        };
        self.refuse_waiting(hopeless, refusal, out);
    }

    fn held_services(&self, now: Timestamp) -> HeldServices {
        let servers = self.dispatcher.servers();
        if !servers.has_pauses(now) {
            return HeldServices::new();
        }
        let services = self.fleet.services.values();
        let held = services.filter_map(|s| Some((s.id.clone(), servers.pause_end(&s.pool, now)?)));
        held.collect()
    }
}
