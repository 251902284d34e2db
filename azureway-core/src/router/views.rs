//! What a router shows of itself.

use super::{AttemptPlan, Overview, PlacementRequest, RouteOption, Router};
use crate::admit::Demand;
use crate::domain::{InstanceId, Rank, Request, RequestKind, Timestamp};
use crate::fleet::{Fleet, ServerTable};
use crate::quarantine::SuspectStatus;
use crate::route::Policy;
use crate::tally::{Outcome, OutcomeCount, OutcomeTally};

impl<P: Policy> Router<P> {
    /// Returns when the router wants to be told of the time at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let limits = [self.queues.earliest(), self.retries.earliest()];
        let limit = limits.into_iter().flatten().min();
        // A server that is tried again, one abroad, or a refilled budget can help what waits.
        let abroad = self.queues.oldest().map(|t| t + self.config.remote_delay);
        let abroad = abroad.filter(|t| *t > self.seen && self.fleet.has_regions());
        let trial = limit.and_then(|_| self.sender.servers().next_retry(self.seen));
        let claims = self.claims.next_timeout();
        let refill = self.budgets.next_refill();
        let refill = refill.filter(|_| !self.retries.is_empty());
        let times = [limit, trial, abroad, refill, claims];
        times.into_iter().flatten().min()
    }

    /// Returns the number of requests that wait, are in flight or have a claim to settle.
    pub fn active(&self) -> usize {
        let claims = self.claims.pending();
        self.queues.len() + self.retries.len() + self.sender.flights().len() + claims
    }

    /// Returns the configuration in force.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns what is known of the backend servers.
    pub const fn servers(&self) -> &ServerTable {
        self.sender.servers()
    }

    /// Returns the state at a glance.
    pub fn overview(&self) -> Overview {
        Overview {
            version: self.fleet.version,
            draining: self.draining,
            entries: self.zone_entries(),
            queued: Rank::ALL.map(|rank| self.queues.depth(rank)),
            in_flight: self.sender.flights().len(),
            retries: self.retries.len(),
            retry_budget: self.budgets.available(),
            claims: self.claims.pending(),
            suspects: self.guarded(SuspectStatus::Suspect),
            quarantined: self.guarded(SuspectStatus::Quarantined),
            counts: self.counts(),
        }
    }

    /// Tells where `request` would go now and why, without sending it: every server of the
    /// service's pool, in the order of their names. Returns `None` for an unknown service.
    pub fn explain(&mut self, request: &Request, now: Timestamp) -> Option<Vec<RouteOption>> {
        let want = PlacementRequest::new(request, AttemptPlan::first(request.id), false);
        self.sender.explain(want, &self.config, &self.fleet, now)
    }

    /// Returns the number of live entry instances of the zone, with this one.
    pub const fn zone_entries(&self) -> u32 {
        self.sender.servers().entries()
    }

    /// Returns how the requests ended.
    pub const fn tally(&self) -> &OutcomeTally {
        &self.tally
    }

    /// Returns what the accounts ask for here, as `instance` tells it to the other entries.
    pub fn demand(&self, instance: InstanceId, now: Timestamp) -> Demand {
        self.limits.demand(instance, now)
    }

    fn guarded(&self, standing: SuspectStatus) -> usize {
        self.sender.guard().count(standing, self.seen)
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
