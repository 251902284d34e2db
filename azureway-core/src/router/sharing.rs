//! Placement of prefixes that backend servers can fetch from one another.

use std::time::Duration;

use super::fetch_source::FetchSource;
use super::{FetchPlan, RouterConfig};
use crate::cache::CacheIndex;
use crate::domain::{CacheStore, ModelService, Request, Timestamp, TokenCount, ZoneId};
use crate::fleet::{Fleet, ServerState, ServerTable};
use crate::route::{Candidate, Locality, Rendezvous, Transfer};

/// Decides which servers and stores share the cached blocks of a prefix.
#[derive(Clone, Copy, Debug)]
pub struct Sharing<'a> {
    config: &'a RouterConfig,
    fleet: &'a Fleet,
    servers: &'a ServerTable,
}

impl<'a> Sharing<'a> {
    /// Creates the decision over the state of the servers.
    pub const fn new(config: &'a RouterConfig, fleet: &'a Fleet, servers: &'a ServerTable) -> Self {
        Self {
            config,
            fleet,
            servers,
        }
    }

    /// Returns the transfers that save most for a request at the chosen server.
    ///
    /// A prefix that no server is known to hold whole comes from its store, if the service has one, and
    /// is saved there by the server that computes it.
    pub fn fetch_plan(
        &self,
        index: &mut CacheIndex,
        request: &Request,
        service: &ModelService,
        best: &Candidate<'_>,
        now: Timestamp,
    ) -> FetchPlan {
        if !service.peer_fetch || request.prompt.blocks().is_empty() {
            return FetchPlan::default();
        }
        let chosen = best.state;
        let blocks = request.prompt.blocks();
        let cached = index.cached_tokens(&chosen.server.id, chosen.incarnation, blocks);
        let peer = self.peer(index, request, service, chosen, cached, now);
        let confirmed = index.confirmed_tokens(&chosen.server.id, chosen.incarnation, blocks);
        let gain = |store: &CacheStore, held: TokenCount| {
            let missing = request.prompt.prefix_tokens().saturating_sub(held);
            let transfer = self.transfer(missing, chosen, &store.zone);
            transfer.gain(chosen.server.prefill)
        };
        let store = self.store(request, service, chosen);
        // The store may have dropped the prefix, which a server that told of it has.
        let lacking = peer
            .as_ref()
            .is_none_or(|p| p.held < request.prompt.prefix_tokens());
        let kept = store.filter(|s| {
            let known = peer.as_ref().map_or(Duration::ZERO, |p| p.gain);
            lacking && gain(s, confirmed) > known
        });
        let saved = store.filter(|s| !gain(s, cached).is_zero());
        FetchPlan {
            source: kept.map(|s| s.address).or(peer.map(|p| p.address)),
            save_to: saved.map(|s| s.address),
        }
    }

    /// Returns the server from which to fetch blocks: the server that holds the most of the prompt, if that is more than the chosen one holds.
    ///
    /// If no server is known to hold more and the chosen server lacks part of the prefix, returns
    /// the one with the highest rendezvous weight, since a fetch that finds nothing costs far less
    /// than recomputing the prefix, unless its transfer takes longer.
    fn peer(
        &self,
        index: &mut CacheIndex,
        request: &Request,
        service: &ModelService,
        chosen: &ServerState,
        cached: TokenCount,
        now: Timestamp,
    ) -> Option<FetchSource> {
        let is_source =
            |s: &&ServerState| s.server.id != chosen.server.id && s.weights == chosen.weights;
        let others = self.servers.in_pool(&service.pool);
        let others = others.filter(is_source).filter(|s| s.accepts(now));
        let rendezvous = Rendezvous::new(request.prompt.prefix());
        let blocks = request.prompt.blocks();
        let rate = chosen.server.prefill;
        let lacking = request.prompt.prefix_tokens().saturating_sub(cached);
        let options = others.filter_map(|s| {
            // Only confirmed blocks count: a server that was sent the prompt may not have computed
            // it yet.
            let held = index.confirmed_tokens(&s.server.id, s.incarnation, blocks);
            let missing = held.saturating_sub(cached);
            let gain = self.transfer(missing, chosen, &s.server.zone).gain(rate);
            let guess = self.transfer(lacking, chosen, &s.server.zone).gain(rate);
            let useful = !gain.is_zero() || (missing == TokenCount::ZERO && !guess.is_zero());
            let source = FetchSource {
                address: s.server.address,
                held,
                gain,
            };
            useful.then_some((rendezvous.weight(&s.server.id), source))
        });
        let best = options.max_by_key(|(weight, source)| (source.gain, *weight));
        best.map(|(_, source)| source)
    }

    /// Returns the store that keeps the blocks of a prompt: one in the region of the server that the
    /// prefix prefers, so that every entry chooses the same.
    ///
    /// The store checks no weights, and a server that loads others while it computes could save blocks
    /// of those. So it is used only for the newest weights, while no server is known to have or to load
    /// newer ones.
    fn store(
        &self,
        request: &Request,
        service: &'a ModelService,
        chosen: &ServerState,
    ) -> Option<&'a CacheStore> {
        let newest = Some(service.weights);
        let mut servers = self.servers.in_pool(&service.pool);
        if chosen.weights != newest || servers.any(|s| s.newest_weights() > newest) {
            return None;
        }
        let rendezvous = Rendezvous::new(request.prompt.prefix());
        let servers = self.servers.in_pool(&service.pool);
        let home = servers.max_by_key(|s| rendezvous.weight(&s.server.id))?;
        let distance = |s: &&CacheStore| Locality::between(self.fleet, &home.server.zone, &s.zone);
        let store = service.stores.iter().min_by_key(distance)?;
        // Many servers share the link of a store, which transfers to other regions would fill.
        let zone = &chosen.server.zone;
        let near = Locality::between(self.fleet, zone, &store.zone) != Locality::Remote;
        near.then_some(store)
    }

    /// Returns the transfer of blocks between the chosen server and `zone`.
    fn transfer(&self, tokens: TokenCount, chosen: &ServerState, zone: &ZoneId) -> Transfer {
        let distance = Locality::between(self.fleet, &chosen.server.zone, zone);
        Transfer::new(tokens, chosen.server.capacity, distance)
    }

    /// Returns whether the prefix has one set of replicas for all regions. That is so if entries
    /// share the servers and recomputing the prefix takes longer than a round trip to another
    /// region plus the traffic cost.
    pub fn is_global(&self, request: &Request, service: &ModelService) -> bool {
        let shared = request.prompt.prefix_tokens();
        let server = self.servers.in_pool(&service.pool).next();
        let prefill = server.map_or(Duration::ZERO, |s| s.server.prefill.time_for(shared));
        let remote_cost = self.config.remote_latency * 2 + self.traffic_cost(request);
        self.config.shared_servers && prefill > remote_cost
    }

    /// Returns the cost of sending a request to another region, as time.
    pub fn traffic_cost(&self, request: &Request) -> Duration {
        self.config.traffic_rate.time_for(request.prompt.tokens())
    }

    /// Assumes that the replicas hold the prefix if no server is known to hold all of it, so that
    /// later requests with the prefix find it there.
    pub fn assume_replicas_cached(&self, candidates: &mut [Candidate<'_>], request: &Request) {
        let shared = request.prompt.prefix_tokens();
        if self.config.shared_servers && candidates.iter().all(|c| c.cached < shared) {
            let replicas = candidates.iter_mut().filter(|c| c.replica);
            replicas.for_each(|c| c.cached = c.cached.max(shared));
        }
    }
}
