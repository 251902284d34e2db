//! What a router shows of itself.

use super::{Overview, PlacementRequest, Plan, RouteOption, Router};
use crate::admit::Demand;
use crate::domain::{InstanceId, Rank, Request, RequestKind, Timestamp};
use crate::quarantine::SuspectStatus;
use crate::route::Policy;
use crate::tally::{Count, Outcome, Tally};

impl<P: Policy> Router<P> {
    /// Returns the state at a glance.
    pub fn overview(&self) -> Overview {
        Overview {
            version: self.fleet.version,
            draining: self.draining,
            entries: self.peers(),
            queued: Rank::ALL.map(|rank| self.queues.depth(rank)),
            flights: self.sender.flights().len(),
            retries: self.retries.len(),
            budget: self.budget.left(),
            claims: self.claims.pending(),
            suspects: self.guarded(SuspectStatus::Suspect),
            quarantined: self.guarded(SuspectStatus::Quarantined),
            counts: self.counts(),
        }
    }

    /// Tells where `request` would go now and why, without sending it: every server of the
    /// service's pool, in the order of their names. Returns `None` for an unknown service.
    pub fn explain(&mut self, request: &Request, now: Timestamp) -> Option<Vec<RouteOption>> {
        let want = PlacementRequest::new(request, Plan::first(request.id), false);
        self.sender.explain(want, &self.config, &self.fleet, now)
    }

    /// Returns the number of live entry instances of the zone, with this one.
    pub const fn peers(&self) -> u32 {
        self.sender.servers().entries()
    }

    /// Returns how the requests ended.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns what the accounts ask for here, as `instance` tells it to the other entries.
    pub fn demand(&self, instance: InstanceId, now: Timestamp) -> Demand {
        self.limits.demand(instance, now)
    }

    fn guarded(&self, standing: SuspectStatus) -> usize {
        self.sender.guard().count(standing, self.seen)
    }

    fn counts(&self) -> Vec<(Rank, RequestKind, Outcome, Count)> {
        let kinds = [RequestKind::Repeatable, RequestKind::AtMostOnce];
        let mut counts = Vec::new();
        for (rank, kind) in Rank::ALL.iter().flat_map(|r| kinds.map(|k| (*r, k))) {
            let of = |outcome| (rank, kind, outcome, self.tally.count(rank, kind, outcome));
            counts.extend(Outcome::ALL.map(of));
        }
        counts
    }
}
