//! Finding a backend server for a request.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Obstacle, PlacementRequest, RouteOption, RouterConfig};
use crate::cache::CacheIndex;
use crate::domain::{ModelService, Request, Timestamp};
use crate::fleet::{Fleet, ServerState, ServerTable};
use crate::quarantine::CrashGuard;
use crate::route::{
    Candidate, Estimate, Locality, Policy, Rendezvous, ReplicaScaler, RequestProfile,
};

/// What is looked at to find a backend server for a request.
#[derive(Debug)]
pub struct Placement<'a> {
    /// The bounds of the router.
    pub config: &'a RouterConfig,
    /// The configuration in force.
    pub fleet: &'a Fleet,
    /// The servers.
    pub servers: &'a ServerTable,
    /// The index of cached blocks.
    pub index: &'a mut CacheIndex,
    /// Over how many replicas each prefix is spread.
    pub scaler: &'a ReplicaScaler,
    /// The guard against requests that crash servers.
    pub guard: &'a CrashGuard,
}

/// A short list of candidates.
type Candidates<'a> = SmallVec<[Candidate<'a>; 16]>;

/// The time to first token above which the next reach is looked at too: a fifth of the target.
const SPILL: Duration = Duration::from_millis(200);
/// What an answer from older weights costs, as time, once newer ones have been named for a
/// while: most of the time that an urgent request has.
const OLD_WEIGHTS_TOLL: Duration = Duration::from_millis(250);

impl<'a> Placement<'a> {
    /// Chooses a server for a request.
    pub fn choose<P: Policy>(
        &mut self,
        policy: &mut P,
        want: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Option<Candidate<'a>> {
        let profile = want.profile(service);
        let found = self.candidates(profile, want, service, now);
        policy
            .choose(profile, &found, now)
            .map(|place| found[place])
    }

    /// Tells of every server of the pool whether the request would go there, and why not.
    pub fn explain<P: Policy>(
        &mut self,
        policy: &mut P,
        want: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Vec<RouteOption> {
        let profile = want.profile(service);
        let found = self.candidates(profile, want, service, now);
        let best = policy
            .choose(profile, &found, now)
            .map(|place| found[place]);
        let of_pool = self.servers.in_pool(&service.pool);
        let order = Rendezvous::new(profile.prefix);
        let options = of_pool.map(|state| {
            let candidate = self.find(&found, state, want.request, &order);
            let chosen = best.is_some_and(|b| b.state.server.id == state.server.id);
            let listed = found.iter().any(|c| c.state.server.id == state.server.id);
            let obstacle = || match listed {
                true => Obstacle::Behind,
                false => Obstacle::between(want, state, service, now),
            };
            RouteOption {
                server: state.server.id.clone(),
                zone: state.server.zone.clone(),
                cached: candidate.cached,
                estimate: Estimate::new(profile, &candidate, now),
                replica: candidate.replica,
                obstacle: (!chosen).then(obstacle),
            }
        });
        options.collect()
    }

    /// Returns the candidate of a server, made up where the server is none.
    fn find(
        &mut self,
        found: &[Candidate<'a>],
        state: &'a ServerState,
        request: &Request,
        order: &Rendezvous,
    ) -> Candidate<'a> {
        let listed = found.iter().find(|c| c.state.server.id == state.server.id);
        let weights = (order.weight(&state.server.id), u64::MAX);
        let reach = self.reach(state);
        listed
            .copied()
            .unwrap_or_else(|| self.candidate(state, request, reach, weights))
    }

    /// Returns the servers that can take the request now. Those that have stopped to report are
    /// looked at only if no other is alive.
    fn candidates(
        &mut self,
        profile: RequestProfile,
        want: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Candidates<'a> {
        let mut found = Candidates::new();
        if !self.collect(false, profile, want, service, now, &mut found) {
            self.collect(true, profile, want, service, now, &mut found);
        }
        let other = |c: &Candidate<'_>| Some(&c.state.server.id) != want.failed;
        if found.iter().any(other) {
            found.retain(|c| other(c));
        }
        found
    }

    /// Adds the servers, the nearest first and then in the order of their names. Farther ones
    /// are looked at when the nearer ones are full or slow. Returns whether any is alive.
    fn collect(
        &mut self,
        quiet: bool,
        profile: RequestProfile,
        want: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
        found: &mut Candidates<'a>,
    ) -> bool {
        if self.is_wide(want.request, service) {
            return self.survey(None, quiet, want, service, now, found);
        }
        let mut alive = false;
        for reach in Locality::ALL {
            // Traffic to another region is paid: it is for a region without any server, and
            // for requests that have waited.
            // So is a second try, which a server that has failed the first would get otherwise.
            let waited = now.since(want.request.arrived) >= self.config.remote_delay
                || (self.config.shared_servers && want.failed.is_some());
            if reach == Locality::Remote && alive && !waited {
                break;
            }
            alive |= self.survey(Some(reach), quiet, want, service, now, found);
            let time = |c: &Candidate<'_>| Estimate::new(profile, c, now).total();
            let shared = self.config.shared_servers;
            let other = |c: &Candidate<'_>| !shared || Some(&c.state.server.id) != want.failed;
            if found.iter().any(|c| time(c) <= SPILL && other(c)) {
                break;
            }
        }
        alive
    }

    /// Adds the servers within one reach, or all of them. Returns whether any could take the
    /// request at all.
    fn survey(
        &mut self,
        reach: Option<Locality>,
        quiet: bool,
        want: PlacementRequest<'_>,
        service: &'a ModelService,
        now: Timestamp,
        found: &mut Candidates<'a>,
    ) -> bool {
        let order = Rendezvous::new(want.request.chain.prefix());
        let near = self.servers.in_pool(&service.pool);
        let near = near.filter(|s| s.is_stale(now) == quiet);
        let near = near.filter(|s| reach.is_none_or(|r| self.reach(s) == r));
        let near = near.filter(|s| want.fits(s, service, now));
        let mut fit: SmallVec<[(u64, &ServerState); 16]> =
            near.map(|s| (order.weight(&s.server.id), s)).collect();
        let bound = self.home_bound(want.request, &fit, now);
        fit.retain(|(_, s)| want.has_capacity(s, now) && self.admits(want, s, now));
        let wide = reach.is_none();
        for (weight, state) in &fit {
            let near = self.reach(state);
            let mut candidate = self.candidate(state, want.request, near, (*weight, bound));
            if wide {
                // A copy in each region would leave room for a third of the prompts.
                candidate.traffic_cost = Duration::ZERO;
            }
            let rollout = service.rollout.as_ref().zip(state.weights);
            if rollout.is_some_and(|(r, loaded)| r.is_outdated(loaded, now)) {
                candidate.traffic_cost += OLD_WEIGHTS_TOLL;
            }
            found.push(candidate);
        }
        if self.config.shared_servers {
            presume(found, want.request);
        }
        bound < u64::MAX
    }

    fn admits(&self, want: PlacementRequest<'_>, state: &ServerState, now: Timestamp) -> bool {
        let begun = want.is_begun();
        self.guard
            .allows(want.request, begun, &state.server.id, now)
    }

    /// Returns the least weight of the servers that the prefix is kept on. These are chosen
    /// among all that are alive, with room or without, so that every entry finds the same.
    fn home_bound(&self, request: &Request, fit: &[(u64, &ServerState)], now: Timestamp) -> u64 {
        let Some((_, first)) = fit.first() else {
            return u64::MAX;
        };
        let (slots, entries) = (first.server.slots, first.entries());
        let prefix = request.chain.prefix();
        let count = self.scaler.replicas(prefix, slots, entries, now);
        let mut weights: SmallVec<[u64; 16]> = fit.iter().map(|(w, _)| *w).collect();
        weights.sort_unstable_by(|a, b| b.cmp(a));
        weights[count.min(weights.len()) - 1]
    }

    fn candidate(
        &mut self,
        state: &'a ServerState,
        request: &Request,
        reach: Locality,
        (weight, bound): (u64, u64),
    ) -> Candidate<'a> {
        let (id, incarnation) = (&state.server.id, state.incarnation);
        let replica = weight >= bound;
        let mut cached = self
            .index
            .cached_tokens(id, incarnation, request.chain.blocks());
        if replica && !self.config.shared_servers && !self.index.is_complete(id, incarnation) {
            // An entry that has just started takes a prefix to be where it is kept.
            cached = cached.max(request.chain.prefix_tokens());
        }
        let (link, traffic_cost) = match reach {
            Locality::Zone => (Duration::ZERO, Duration::ZERO),
            Locality::Region => (self.config.zone_latency, Duration::ZERO),
            Locality::Remote => (self.config.remote_latency, self.toll(request)),
        };
        Candidate {
            state,
            cached,
            link,
            traffic_cost,
            weight,
            replica,
        }
    }

    fn reach(&self, state: &ServerState) -> Locality {
        let (own, zone) = (&self.config.zone, &state.server.zone);
        if own == zone {
            Locality::Zone
        } else if self.fleet.share_region(own, zone) {
            Locality::Region
        } else {
            Locality::Remote
        }
    }
}

/// Takes the prefix to be where it is kept, if no server is known to hold it: whoever asks for it
/// next then finds it there.
fn presume(found: &mut Candidates<'_>, request: &Request) {
    let shared = request.chain.prefix_tokens();
    if found.iter().all(|c| c.cached < shared) {
        let replicas = found.iter_mut().filter(|c| c.replica);
        replicas.for_each(|c| c.cached = c.cached.max(shared));
    }
}
