//! Read access to the state of a router.

use super::{AttemptPlan, Overview, PlacementRequest, RouteOption, Router};
use crate::admit::Demand;
use crate::domain::{InstanceId, Rank, Request, RequestKind, Timestamp};
use crate::fleet::{Fleet, ServerTable};
use crate::quarantine::SuspectStatus;
use crate::route::Policy;
use crate::tally::{Outcome, OutcomeCount, OutcomeTally};

impl<P: Policy> Router<P> {
    /// Returns the latest time at which the router must receive the next event, if any.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let limits = [self.queues.next_deadline(), self.retries.next_expiry()];
        let limit = limits.into_iter().flatten().min();
        // Waiting requests can become dispatchable when a suspect server may be retried, when
        // they have waited long enough for another region, or when the retry budget refills.
        let remote = self
            .queues
            .earliest_arrival()
            .map(|t| t + self.config.remote_delay);
        let remote = remote.filter(|t| *t > self.last_event && self.fleet.has_regions());
        let server_retry =
            limit.and_then(|_| self.dispatcher.servers().next_retry(self.last_event));
        let claims = self.claims.next_timeout();
        let refill = self.budgets.next_refill();
        let refill = refill.filter(|_| !self.retries.is_empty());
        let time_limit = self.dispatcher.in_flight().next_limit();
        let recall = self.dispatcher.in_flight().next_recall(&self.fleet);
        let closing = self.closing.filter(|t| *t > self.last_event);
        let times = [
            limit,
            time_limit,
            recall,
            server_retry,
            remote,
            refill,
            claims,
            closing,
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the number of requests that are queued, wait for a retry, are in flight or have an
    /// open claim.
    pub fn active(&self) -> usize {
        let claims = self.claims.pending();
        self.queues.len() + self.retries.len() + self.dispatcher.in_flight().len() + claims
    }

    /// Returns the configuration in force.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the state of the backend servers.
    pub const fn servers(&self) -> &ServerTable {
        self.dispatcher.servers()
    }

    /// Returns a summary of the state.
    pub fn overview(&self) -> Overview {
        Overview {
            version: self.fleet.version,
            draining: self.draining,
            entries: self.zone_entries(),
            queued: Rank::ALL.map(|rank| self.queues.depth(rank)),
            in_flight: self.dispatcher.in_flight().len(),
            retries: self.retries.len(),
            retry_budget: self.budgets.available(),
            claims: self.claims.pending(),
            suspects: self.count_with_status(SuspectStatus::Suspect),
            quarantined: self.count_with_status(SuspectStatus::Quarantined),
            pauses: self.dispatcher.servers().pauses(),
            paused: self.count_paused(),
            index_memory: self.dispatcher.index_memory(),
            announced: self.servers().leaving_marks().announced(),
            counts: self.counts(),
        }
    }

    /// Explains where `request` would go now, without dispatching it: for every server of the
    /// service's pool, in name order. Returns `None` for an unknown service.
    pub fn explain(&mut self, request: &Request, now: Timestamp) -> Option<Vec<RouteOption>> {
        let query = PlacementRequest::new(request, AttemptPlan::first(request.id), false);
        self.dispatcher
            .explain(query, &self.config, &self.fleet, now)
    }

    /// Returns the number of entry instances that share the servers, including this one.
    pub const fn zone_entries(&self) -> u32 {
        self.dispatcher.servers().entries()
    }

    /// Returns the counts of requests by outcome.
    pub const fn tally(&self) -> &OutcomeTally {
        &self.tally
    }

    /// Returns the use of the limited client accounts here, as `instance` tells it to other entries.
    pub fn demand(&mut self, instance: InstanceId, now: Timestamp) -> Demand {
        self.limits.demand(instance, now)
    }

    fn count_with_status(&self, status: SuspectStatus) -> usize {
        self.dispatcher.guard().count(status, self.last_event)
    }

    fn count_paused(&self) -> usize {
        let servers = self.dispatcher.servers().iter();
        servers.filter(|s| s.pause.holds(self.last_event)).count()
    }

    fn counts(&self) -> Vec<(Rank, RequestKind, Outcome, OutcomeCount)> {
        let kinds = [RequestKind::Repeatable, RequestKind::AtMostOnce];
        let mut counts = Vec::new();
        for (rank, kind) in Rank::ALL.iter().flat_map(|r| kinds.map(|k| (*r, k))) {
            let of = |outcome| (rank, kind, outcome, self.tally.count(rank, kind, outcome));
            counts.extend(Outcome::ALL.map(of));
        }
        counts
    }
}
