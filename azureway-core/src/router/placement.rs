//! Collects the backend servers that can take a request and lets the policy choose one.

use std::time::Duration;

use smallvec::SmallVec;

use super::{ExclusionReason, PlacementRequest, RouteOption, RouterConfig, Sharing};
use crate::cache::CacheIndex;
use crate::domain::{ModelService, Request, Timestamp};
use crate::fleet::{Fleet, ServerState, ServerTable};
use crate::quarantine::CrashGuard;
use crate::route::{
    Candidate, Estimate, Locality, Policy, Rendezvous, ReplicaScaler, RequestProfile,
};

/// The state that is consulted to select a backend server for a request.
#[derive(Debug)]
pub struct Placement<'a> {
    /// The configuration of the router.
    pub config: &'a RouterConfig,
    /// The configuration of the fleet.
    pub fleet: &'a Fleet,
    /// The state of the backend servers.
    pub servers: &'a ServerTable,
    /// The index of cached blocks.
    pub index: &'a mut CacheIndex,
    /// The number of replicas that each prefix gets.
    pub scaler: &'a ReplicaScaler,
    /// The guard against requests that crash servers.
    pub guard: &'a CrashGuard,
}

/// Candidates on the stack for up to 16 servers.
type Candidates<'a> = SmallVec<[Candidate<'a>; 16]>;

/// The estimated time to first token above which servers of the next locality are considered:
/// a fifth of the target.
const SPILL_THRESHOLD: Duration = Duration::from_millis(200);
/// The cost, as time, that is added for a server that still has outdated weights after the grace
/// period for loading newer ones. It is most of the time budget of an urgent request.
const OUTDATED_WEIGHTS_COST: Duration = Duration::from_millis(250);

impl<'a> Placement<'a> {
    /// Returns the candidate that the policy chooses, or `None` if no server can take the request.
    pub fn choose<P: Policy>(
        &mut self,
        policy: &mut P,
        query: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Option<Candidate<'a>> {
        let profile = query.profile(service);
        let candidates = self.candidates(profile, query, service, now);
        policy
            .choose(profile, &candidates, now)
            .map(|index| candidates[index])
    }

    /// Explains for every server of the pool whether it would be chosen and, if not, why.
    pub fn explain<P: Policy>(
        &mut self,
        policy: &mut P,
        query: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Vec<RouteOption> {
        let profile = query.profile(service);
        let candidates = self.candidates(profile, query, service, now);
        let best = policy
            .choose(profile, &candidates, now)
            .map(|index| candidates[index]);
        let servers = self.servers.in_pool(&service.pool);
        let rendezvous = Rendezvous::new(profile.prefix);
        let options = servers.map(|state| {
            let candidate = self.candidate_for(&candidates, state, query.request, &rendezvous);
            let chosen = best.is_some_and(|b| b.state.server.id == state.server.id);
            let listed = candidates
                .iter()
                .any(|c| c.state.server.id == state.server.id);
            let exclusion = || match listed {
                true => ExclusionReason::Outranked,
                false => match ExclusionReason::for_server(query, state, service, now) {
                    ExclusionReason::NearerAvailable
                        if !query.starts_in_time(profile, &candidate, service, now) =>
                    {
                        ExclusionReason::WeightsNotLoaded
                    }
                    reason => reason,
                },
            };
            RouteOption {
                server: state.server.id.clone(),
                zone: state.server.zone.clone(),
                cached: candidate.cached,
                estimate: Estimate::new(profile, &candidate, now),
                replica: candidate.replica,
                exclusion: (!chosen).then(exclusion),
            }
        });
        options.collect()
    }

    /// Returns the candidate of a server, or a hypothetical one if the server cannot take the
    /// request.
    fn candidate_for(
        &mut self,
        candidates: &[Candidate<'a>],
        state: &'a ServerState,
        request: &Request,
        rendezvous: &Rendezvous,
    ) -> Candidate<'a> {
        let listed = candidates
            .iter()
            .find(|c| c.state.server.id == state.server.id);
        let weights = (rendezvous.weight(&state.server.id), u64::MAX);
        let locality = self.locality(state);
        listed
            .copied()
            .unwrap_or_else(|| self.candidate(state, request, locality, weights))
    }

    /// Returns the servers that can take the request now. Servers with stale reports are
    /// considered only if no other is alive, and the server that failed the request last only if
    /// there is no other candidate.
    fn candidates(
        &mut self,
        profile: RequestProfile,
        query: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Candidates<'a> {
        let mut candidates = Candidates::new();
        if !self.collect_candidates(false, profile, query, service, now, &mut candidates) {
            self.collect_candidates(true, profile, query, service, now, &mut candidates);
        }
        candidates.retain(|c| query.starts_in_time(profile, c, service, now));
        let other = |c: &Candidate<'_>| Some(&c.state.server.id) != query.failed_server;
        if candidates.iter().any(other) {
            candidates.retain(|c| other(c));
        }
        candidates
    }

    /// Adds candidates from the nearest locality outwards, in name order within each. Farther
    /// localities are considered only if the nearer servers are full or slow. Returns whether
    /// any server is alive.
    fn collect_candidates(
        &mut self,
        stale: bool,
        profile: RequestProfile,
        query: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
        candidates: &mut Candidates<'a>,
    ) -> bool {
        if self.sharing().is_global(query.request, service) {
            return self.add_candidates(None, stale, query, service, now, candidates);
        }
        let mut alive = false;
        for locality in Locality::ALL {
            // Traffic to another region is billed. It is allowed if no nearer server is alive,
            // for requests that have waited, and, where servers are shared, for retries, which
            // would otherwise go back to the server that failed the last attempt.
            let waited = now.since(query.request.arrived) >= self.config.remote_delay
                || (self.config.shared_servers && query.failed_server.is_some());
            if locality == Locality::Remote && alive && !waited {
                break;
            }
            alive |= self.add_candidates(Some(locality), stale, query, service, now, candidates);
            let time = |c: &Candidate<'_>| Estimate::new(profile, c, now).time_to_first_token();
            let shared = self.config.shared_servers;
            let other =
                |c: &Candidate<'_>| !shared || Some(&c.state.server.id) != query.failed_server;
            if candidates
                .iter()
                .any(|c| time(c) <= SPILL_THRESHOLD && other(c))
            {
                break;
            }
        }
        alive
    }

    /// Adds the servers of one locality, or of all if `locality` is `None`. Returns whether any
    /// could serve the request if it had capacity.
    fn add_candidates(
        &mut self,
        locality: Option<Locality>,
        stale: bool,
        query: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
        candidates: &mut Candidates<'a>,
    ) -> bool {
        let rendezvous = Rendezvous::new(query.request.prompt.prefix());
        let servers = self.servers.in_pool(&service.pool);
        let servers = servers.filter(|s| s.is_stale(now) == stale);
        let servers = servers.filter(|s| locality.is_none_or(|r| self.locality(s) == r));
        let servers = servers.filter(|s| query.is_served_by(s, service, now));
        let mut eligible: SmallVec<[(u64, &ServerState); 16]> = servers
            .map(|s| (rendezvous.weight(&s.server.id), s))
            .collect();
        let threshold = self.replica_threshold(query.request, &eligible, now);
        eligible.retain(|(_, s)| query.has_capacity(s, now) && self.is_allowed(query, s, now));
        let global = locality.is_none();
        for (weight, state) in &eligible {
            let locality = self.locality(state);
            let mut candidate =
                self.candidate(state, query.request, locality, (*weight, threshold));
            if global {
                // Otherwise each region would cache its own copy, and the caches would hold a
                // third as many prompts.
                candidate.traffic_cost = Duration::ZERO;
            }
            let rollout = service.rollout.as_ref().zip(state.weights);
            if rollout.is_some_and(|(r, loaded)| r.is_outdated(loaded, now)) {
                candidate.traffic_cost += OUTDATED_WEIGHTS_COST;
            }
            candidates.push(candidate);
        }
        self.sharing()
            .assume_replicas_cached(candidates, query.request);
        threshold < u64::MAX
    }

    fn is_allowed(&self, query: PlacementRequest<'_>, state: &ServerState, now: Timestamp) -> bool {
        let begun = query.is_begun();
        self.guard
            .allows(query.request, begun, &state.server.id, now)
    }

    /// Returns the lowest rendezvous weight among the replicas of the prefix. They are chosen
    /// from all live servers, with or without capacity, so that every entry chooses the same
    /// ones.
    fn replica_threshold(
        &self,
        request: &Request,
        eligible: &[(u64, &ServerState)],
        now: Timestamp,
    ) -> u64 {
        let Some((_, first)) = eligible.first() else {
            return u64::MAX;
        };
        let (slots, entries) = (first.server.slots, first.entries());
        let prefix = request.prompt.prefix();
        let count = self.scaler.replicas(prefix, slots, entries, now);
        let mut weights: SmallVec<[u64; 16]> = eligible.iter().map(|(w, _)| *w).collect();
        weights.sort_unstable_by(|a, b| b.cmp(a));
        weights[count.min(weights.len()) - 1]
    }

    fn candidate(
        &mut self,
        state: &'a ServerState,
        request: &Request,
        locality: Locality,
        (weight, threshold): (u64, u64),
    ) -> Candidate<'a> {
        let (id, incarnation) = (&state.server.id, state.incarnation);
        let replica = weight >= threshold;
        let mut cached = self
            .index
            .cached_tokens(id, incarnation, request.prompt.blocks());
        if replica && !self.config.shared_servers && !self.index.is_complete(id, incarnation) {
            // An instance that has just started assumes that replicas hold the prefix.
            cached = cached.max(request.prompt.prefix_tokens());
        }
        let (link_latency, traffic_cost) = match locality {
            Locality::Zone => (Duration::ZERO, Duration::ZERO),
            Locality::Region => (self.config.zone_latency, Duration::ZERO),
            Locality::Remote => (
                self.config.remote_latency,
                self.sharing().traffic_cost(request),
            ),
        };
        Candidate {
            state,
            cached,
            link_latency,
            traffic_cost,
            weight,
            replica,
        }
    }

    /// Returns the decision which servers share the cached blocks of a prefix.
    pub const fn sharing(&self) -> Sharing<'a> {
        Sharing::new(self.config, self.fleet, self.servers)
    }

    fn locality(&self, state: &ServerState) -> Locality {
        Locality::between(self.fleet, &self.config.zone, &state.server.zone)
    }
}
