//! Sends requests to the chosen backend servers and tracks them until they end.

use super::{InFlight, InFlightTable, Placement, PlacementRequest, RouteOption, RouterConfig};
use crate::cache::{CacheIndex, CacheUpdate};
use crate::domain::{Attempt, Incarnation, PoolId, RequestId, Timestamp, TokenCount};
use crate::event::{Dispatch, Failure, Finish, Recall, RecallCause};
use crate::fleet::{Fleet, LoadReport, LoadSample, ServerTable};
use crate::member::{LoadNotice, ServerStatus, ServerUpdate};
use crate::quarantine::{CrashGuard, CrashSite};
use crate::route::{Estimate, Policy, ReplicaScaler};

/// Dispatches requests to backend servers, and tracks the servers, the index of their caches
/// and the requests in flight.
#[derive(Debug)]
pub struct Dispatcher<P> {
    policy: P,
    servers: ServerTable,
    index: CacheIndex,
    scaler: ReplicaScaler,
    in_flight: InFlightTable,
    guard: CrashGuard,
}

impl<P: Policy> Dispatcher<P> {
    /// Creates a dispatcher without servers.
    pub fn new(policy: P, config: &RouterConfig) -> Self {
        Self {
            policy,
            servers: ServerTable::new().with_seed(config.seed),
            index: CacheIndex::new().with_memory(config.index_memory),
            scaler: ReplicaScaler::new(),
            in_flight: InFlightTable::new(),
            guard: CrashGuard::new(),
        }
    }

    /// Returns the state of the backend servers.
    pub const fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Returns the state of the backend servers for modification.
    pub fn servers_mut(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// Returns the requests in flight.
    pub const fn in_flight(&self) -> &InFlightTable {
        &self.in_flight
    }

    /// Returns the guard against requests that crash servers.
    pub const fn guard(&self) -> &CrashGuard {
        &self.guard
    }

    /// Returns the guard against requests that crash servers for modification.
    pub fn guard_mut(&mut self) -> &mut CrashGuard {
        &mut self.guard
    }

    /// Returns the memory of the index of cached blocks, in bytes.
    pub fn index_memory(&self) -> usize {
        self.index.memory()
    }

    /// Applies the servers of a new configuration.
    pub fn reconfigure(&mut self, fleet: &Fleet, now: Timestamp) {
        for gone in self.servers.reconfigure(fleet) {
            self.index.remove(&gone);
        }
        // A server known only from the platform's list has sent no report of its own yet, so its
        // cache is tracked from the listed incarnation.
        for server in fleet.servers.values() {
            if let Some(listed) = server.listed {
                self.index.track(&server.id, listed.incarnation);
                let until = fleet.listed_until;
                self.guard
                    .observe_incarnation(&server.id, listed.incarnation, until, now);
            }
        }
    }

    /// Applies a run of cache events. Returns whether earlier events were lost.
    pub fn update_cache(&mut self, update: &CacheUpdate<'_>) -> bool {
        self.servers.get(update.server).is_some() && self.index.update(update)
    }

    /// Returns the update to send to peers if a report says for the first time that its server
    /// is leaving.
    pub fn leaving_update(&self, report: &LoadReport) -> Option<ServerUpdate> {
        let state = self.servers.get(&report.server)?;
        let fresh = report.leaving && !state.is_leaving();
        fresh.then(|| ServerUpdate {
            server: report.server.clone(),
            incarnation: report.incarnation,
            status: ServerStatus::Leaving,
        })
    }

    /// Applies a load report. Returns the pool of the server.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) -> Option<&PoolId> {
        self.guard
            .observe_incarnation(&report.server, report.incarnation, now, now);
        self.servers.apply_report(report, now)
    }

    /// Applies the notice that a server is about to load weights or has loaded them.
    pub fn apply_loading(&mut self, notice: &LoadNotice, now: Timestamp) {
        if self.servers.apply_loading(notice, now) {
            self.index.invalidate(&notice.server);
        }
    }

    /// Applies the load sample of an answer. Returns the pool of the server.
    pub fn apply_sample(&mut self, sample: &LoadSample, now: Timestamp) -> Option<&PoolId> {
        let state = self.servers.get_mut(&sample.server)?;
        if state.apply_sample(sample, now) {
            self.index.invalidate(&sample.server);
        }
        Some(&state.server.pool)
    }

    /// Dispatches a request to the best server, or returns `None` if no server can take it.
    pub fn dispatch(
        &mut self,
        query: PlacementRequest<'_>,
        config: &RouterConfig,
        fleet: &Fleet,
        now: Timestamp,
    ) -> Option<Dispatch> {
        let service = fleet.services.get(&query.request.service)?;
        let (mut placement, policy) = self.placement(config, fleet);
        let best = placement.choose(policy, query, service, now)?;
        let mut dispatch = query.plan.dispatch_to(query.request, service, &best);
        let sharing = placement.sharing();
        let plan = sharing.fetch_plan(placement.index, query.request, service, &best, now);
        (dispatch.fetch_from, dispatch.save_to) = (plan.source, plan.save_to);
        if query.request.prompt.has_shared_salt() {
            // The set of isolated accounts may have changed since the request was admitted.
            let (account, service) = (&query.request.account, &query.request.service);
            dispatch.salt = fleet.shared_salt(account, service);
        }
        dispatch.expected_ttft =
            Estimate::new(query.profile(service), &best, now).time_to_first_token();
        self.track(query, service.pool.clone(), &dispatch, now);
        Some(dispatch)
    }

    /// Explains for every server of the service's pool whether the request would go there.
    /// Returns `None` for an unknown service.
    pub fn explain(
        &mut self,
        query: PlacementRequest<'_>,
        config: &RouterConfig,
        fleet: &Fleet,
        now: Timestamp,
    ) -> Option<Vec<RouteOption>> {
        let service = fleet.services.get(&query.request.service)?;
        let (mut placement, policy) = self.placement(config, fleet);
        Some(placement.explain(policy, query, service, now))
    }

    /// Returns the placement over the current state and the policy that chooses.
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

    /// Records that a server began to answer. Returns whether the attempt is the current one.
    pub fn start(&mut self, attempt: Attempt) -> bool {
        let Some((flight, pending)) = self.in_flight.start(attempt) else {
            return false;
        };
        if let Some(state) = self.servers.get_mut(&flight.server) {
            state.finish_prefill(flight.period, pending);
        }
        true
    }

    /// Records a completed attempt and returns its request, if the attempt is the current one.
    pub fn finish(&mut self, finish: &Finish, now: Timestamp) -> Option<InFlight> {
        let flight = self.in_flight.take(finish.attempt)?;
        self.untrack(&flight, now);
        if let Some(state) = self.servers.get_mut(&flight.server) {
            state.record_success(now.since(flight.sent), now);
        }
        let answered = finish.output > TokenCount::ZERO;
        self.guard.record_success(&flight.request, answered, now);
        Some(flight)
    }

    /// Records a failed attempt and returns its request, if the attempt is the current one. Also
    /// returns whether the index of the server's cache was invalidated.
    pub fn fail(&mut self, failure: &Failure, now: Timestamp) -> Option<(InFlight, bool)> {
        let flight = self.in_flight.take(failure.attempt)?;
        self.untrack(&flight, now);
        self.report_to_guard(&flight, failure, now);
        let state = self.servers.get_mut(&flight.server);
        let lost = state.is_some_and(|s| s.record_failure(failure, now));
        if lost {
            self.index.invalidate(&flight.server);
        }
        Some((flight, lost))
    }

    /// Returns the recalls of the attempts that must not begin any more, each of them once. At a server
    /// that has loaded newer weights since, a request that is in flight runs already.
    pub fn take_recalls(&mut self, fleet: &Fleet, now: Timestamp) -> Vec<Recall> {
        let due = self.in_flight.take_recalls(fleet, now);
        let outdated = due.into_iter().filter(|flight| {
            let state = self.servers.get(&flight.server);
            state.and_then(|s| s.weights) <= Some(flight.weights)
        });
        let recalls = outdated.map(|flight| flight.recall(RecallCause::Outdated(flight.weights)));
        recalls.collect()
    }

    /// Returns the recalls of the attempts whose answer has not begun and that have a quarantined part,
    /// each of them once.
    pub fn recall_quarantined(&mut self, now: Timestamp) -> Vec<Recall> {
        let guard = &self.guard;
        let waiting = self.in_flight.unstarted_mut().filter(|f| !f.recalled);
        let doomed = waiting.filter(|f| guard.has_quarantined_part(&f.request, now));
        let recalls = doomed.map(|flight| {
            flight.recalled = true;
            flight.recall(RecallCause::Quarantined)
        });
        recalls.collect()
    }

    /// Removes a request in flight, whatever its current attempt.
    pub fn remove(&mut self, id: RequestId, now: Timestamp) -> Option<InFlight> {
        let flight = self.in_flight.remove(id)?;
        self.untrack(&flight, now);
        Some(flight)
    }

    /// Removes and returns a request in flight whose time limit has passed, if there is one. The
    /// silence counts against its server only if the answer has not begun.
    pub fn expire(&mut self, now: Timestamp) -> Option<InFlight> {
        let flight = self.in_flight.expired(now)?;
        let (started, failure) = (flight.started, flight.timeout_failure());
        if started {
            return self.remove(failure.attempt.id, now);
        }
        // Silence does not invalidate what is known of the server's cache.
        self.fail(&failure, now).map(|(flight, _)| flight)
    }

    /// Records that a request is in flight.
    fn track(
        &mut self,
        query: PlacementRequest<'_>,
        pool: PoolId,
        dispatch: &Dispatch,
        now: Timestamp,
    ) {
        let mut flight = InFlight::new(query.request, pool, dispatch, query.plan);
        if let Some(state) = self.servers.get_mut(&flight.server) {
            flight.period = state.begin(flight.pending_prefill(), now);
            flight.sent = now;
            let blocks = query.request.prompt.blocks();
            self.index
                .assume_cached(&flight.server, state.incarnation, blocks);
        }
        self.scaler.begin(query.request.prompt.prefix(), now);
        self.guard.begin(query.request, &flight.server, now);
        self.in_flight.insert(flight);
    }

    /// Releases the resources that a request in flight held.
    fn untrack(&mut self, flight: &InFlight, now: Timestamp) {
        if let Some(state) = self.servers.get_mut(&flight.server) {
            state.release(flight.period, flight.pending_prefill());
        }
        self.scaler.end(flight.request.prompt.prefix(), now);
        self.guard.end(flight.attempt.id);
    }

    /// Reports a failure to the guard against requests that crash servers.
    fn report_to_guard(&mut self, flight: &InFlight, failure: &Failure, now: Timestamp) {
        let known = self.servers.get(&flight.server);
        let known = known.map_or(Incarnation::ZERO, |s| s.incarnation);
        let site = CrashSite::new(flight.server.clone(), flight.incarnation);
        self.guard
            .record_failure(&flight.request, failure, site, known, now);
    }
}
