//! Sending requests to backend servers.

use super::{InFlight, InFlightTable, Placement, PlacementRequest, RouteOption, RouterConfig};
use crate::cache::{CacheIndex, CacheUpdate};
use crate::domain::{Attempt, Incarnation, PoolId, RequestId, Timestamp};
use crate::event::{Dispatch, Failure};
use crate::fleet::{Fleet, LoadReport, LoadSample, ServerTable};
use crate::member::{LoadNotice, ServerStatus, ServerUpdate};
use crate::quarantine::{CrashGuard, CrashSite};
use crate::route::{Estimate, Policy, ReplicaScaler};

/// Sends requests to backend servers, and keeps what that takes: the servers, the index of
/// their caches and the requests in flight.
#[derive(Debug)]
pub struct Dispatcher<P> {
    policy: P,
    servers: ServerTable,
    index: CacheIndex,
    scaler: ReplicaScaler,
    flights: InFlightTable,
    guard: CrashGuard,
}

impl<P: Policy> Dispatcher<P> {
    /// Creates a dispatcher that knows no server.
    pub fn new(policy: P) -> Self {
        Self {
            policy,
            servers: ServerTable::new(),
            index: CacheIndex::new(),
            scaler: ReplicaScaler::new(),
            flights: InFlightTable::new(),
            guard: CrashGuard::new(),
        }
    }

    /// Returns what is known of the backend servers.
    pub const fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Returns what is known of the backend servers, to be changed.
    pub fn servers_mut(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// Returns the requests in flight.
    pub const fn flights(&self) -> &InFlightTable {
        &self.flights
    }

    /// Returns the guard against requests that crash servers.
    pub const fn guard(&self) -> &CrashGuard {
        &self.guard
    }

    /// Returns the guard against requests that crash servers, to be told.
    pub fn guard_mut(&mut self) -> &mut CrashGuard {
        &mut self.guard
    }

    /// Takes over the servers of a new configuration.
    pub fn adopt(&mut self, fleet: &Fleet, now: Timestamp) {
        for gone in self.servers.reconfigure(fleet) {
            self.index.invalidate(&gone);
        }
        // Servers that only the list tells of have no news of their own to begin with.
        for server in fleet.servers.values() {
            if let Some(loaded) = server.listed {
                self.index.track(&server.id, loaded.incarnation);
                self.guard
                    .observe_incarnation(&server.id, loaded.incarnation, now);
            }
        }
    }

    /// Takes in a run of cache events. Returns whether some before it were lost.
    pub fn hear(&mut self, update: &CacheUpdate<'_>) -> bool {
        self.servers.get(update.server).is_some() && self.index.update(update)
    }

    /// Returns what peers have to hear of a report: that a server leaves, when that is new.
    pub fn leave_news(&self, report: &LoadReport) -> Option<ServerUpdate> {
        let state = self.servers.get(&report.server)?;
        let fresh = report.leaving && !state.is_leaving();
        fresh.then(|| ServerUpdate {
            server: report.server.clone(),
            incarnation: report.incarnation,
            status: ServerStatus::Leaving,
        })
    }

    /// Takes in a report. Returns the pool of the server.
    pub fn report(&mut self, report: &LoadReport, now: Timestamp) -> Option<&PoolId> {
        self.guard
            .observe_incarnation(&report.server, report.incarnation, now);
        self.servers.apply_report(report, now)
    }

    /// Takes in that a server is about to load weights or has loaded them.
    pub fn load(&mut self, loading: &LoadNotice, now: Timestamp) {
        if self.servers.apply_loading(loading, now) {
            self.index.invalidate(&loading.server);
        }
    }

    /// Takes in what an answer told of its server. Returns the server's pool.
    pub fn sample(&mut self, sample: &LoadSample, now: Timestamp) -> Option<&PoolId> {
        let state = self.servers.get_mut(&sample.server)?;
        if state.apply_sample(sample, now) {
            self.index.invalidate(&sample.server);
        }
        Some(&state.server.pool)
    }

    /// Sends a request to the best server. Returns the order, if there was a server.
    pub fn send(
        &mut self,
        want: PlacementRequest<'_>,
        config: &RouterConfig,
        fleet: &Fleet,
        now: Timestamp,
    ) -> Option<Dispatch> {
        let service = fleet.services.get(&want.request.service)?;
        let (mut placement, policy) = self.placement(config, fleet);
        let best = placement.choose(policy, want, service, now)?;
        let mut order = want.plan.order(want.request, service, &best);
        order.fetch_from = placement.source(want.request, service, &best, now);
        order.expected_ttft = Estimate::new(want.profile(service), &best, now).total();
        self.track(want, service.pool.clone(), &order, now);
        Some(order)
    }

    /// Tells of every server of the service's pool whether the request would go there.
    pub fn explain(
        &mut self,
        want: PlacementRequest<'_>,
        config: &RouterConfig,
        fleet: &Fleet,
        now: Timestamp,
    ) -> Option<Vec<RouteOption>> {
        let service = fleet.services.get(&want.request.service)?;
        let (mut placement, policy) = self.placement(config, fleet);
        Some(placement.explain(policy, want, service, now))
    }

    /// Returns what is looked at to find a server, and the policy that chooses.
    fn placement<'a>(
        &'a mut self,
        config: &'a RouterConfig,
        fleet: &'a Fleet,
    ) -> (Placement<'a>, &'a mut P) {
        let placement = Placement {
            config,
            fleet,
            servers: &self.servers,
            index: &mut self.index,
            scaler: &self.scaler,
            guard: &self.guard,
        };
        (placement, &mut self.policy)
    }

    /// Notes that a server began to answer. Returns whether the try is the current one.
    pub fn start(&mut self, attempt: Attempt) -> bool {
        let Some(flight) = self.flights.current(attempt) else {
            return false;
        };
        if let Some(state) = self.servers.get_mut(&flight.server) {
            state.finish_prefill(flight.period, flight.owed());
        }
        flight.started = true;
        true
    }

    /// Takes a request that was answered out of flight, if the try is the current one.
    pub fn finish(&mut self, attempt: Attempt, now: Timestamp) -> Option<InFlight> {
        let flight = self.flights.take(attempt)?;
        self.untrack(&flight, now);
        if let Some(state) = self.servers.get_mut(&flight.server) {
            state.record_success(now.since(flight.begun), now);
        }
        self.guard.record_success(&flight.request, now);
        Some(flight)
    }

    /// Takes a request that failed out of flight, if the try is the current one. Returns also
    /// whether the server's cache is no longer known.
    pub fn fail(&mut self, failure: &Failure, now: Timestamp) -> Option<(InFlight, bool)> {
        let flight = self.flights.take(failure.attempt)?;
        self.untrack(&flight, now);
        self.accuse(&flight, failure, now);
        let state = self.servers.get_mut(&flight.server);
        let unknown = state.is_some_and(|s| s.record_failure(failure, now));
        if unknown {
            self.index.invalidate(&flight.server);
        }
        Some((flight, unknown))
    }

    /// Takes a request out of flight, whatever its current try.
    pub fn remove(&mut self, id: RequestId, now: Timestamp) -> Option<InFlight> {
        let flight = self.flights.remove(id)?;
        self.untrack(&flight, now);
        Some(flight)
    }

    /// Notes that a request is in flight.
    fn track(
        &mut self,
        want: PlacementRequest<'_>,
        pool: PoolId,
        order: &Dispatch,
        now: Timestamp,
    ) {
        let mut flight = InFlight::new(want.request, pool, order, want.plan);
        if let Some(state) = self.servers.get_mut(&flight.server) {
            flight.period = state.begin(flight.owed());
            flight.begun = now;
            let blocks = want.request.chain.blocks();
            self.index
                .assume_cached(&flight.server, state.incarnation, blocks);
        }
        self.scaler.begin(want.request.chain.prefix(), now);
        self.guard.begin(want.request, &flight.server, now);
        self.flights.insert(flight);
    }

    /// Gives back what a request in flight held.
    fn untrack(&mut self, flight: &InFlight, now: Timestamp) {
        if let Some(state) = self.servers.get_mut(&flight.server) {
            state.release(flight.period, flight.owed());
        }
        self.scaler.end(flight.request.chain.prefix(), now);
        self.guard.end(flight.attempt.id);
    }

    /// Tells the guard of a failure.
    fn accuse(&mut self, flight: &InFlight, failure: &Failure, now: Timestamp) {
        let known = self.servers.get(&flight.server);
        let known = known.map_or(Incarnation::ZERO, |s| s.incarnation);
        let site = CrashSite::new(flight.server.clone(), flight.incarnation);
        self.guard
            .record_failure(&flight.request, failure, site, known, now);
    }
}
