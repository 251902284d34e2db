//! Placement of prefixes that backend servers can fetch from one another.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::RouterConfig;
use crate::cache::CacheIndex;
use crate::domain::{ModelService, Request, Timestamp};
use crate::fleet::{ServerState, ServerTable};
use crate::route::{Candidate, Rendezvous};

/// Decides which servers share the cached blocks of a prefix.
#[derive(Clone, Copy, Debug)]
pub struct Sharing<'a> {
    config: &'a RouterConfig,
    servers: &'a ServerTable,
}

impl<'a> Sharing<'a> {
    /// Creates the decision over the state of the servers.
    pub const fn new(config: &'a RouterConfig, servers: &'a ServerTable) -> Self {
        Self { config, servers }
    }

    /// Returns the address of a server to fetch cached blocks from: the one that holds the most
    /// of the prompt, if that is more than the chosen server holds.
    ///
    /// If no server is known to hold more and the chosen server lacks part of the prefix, returns
    /// the one with the highest rendezvous weight, since a fetch that finds nothing costs far less
    /// than recomputing the prefix.
    pub fn fetch_source(
        &self,
        index: &mut CacheIndex,
        request: &Request,
        service: &ModelService,
        best: &Candidate<'_>,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        if !service.peer_fetch || request.prompt.blocks().is_empty() {
            return None;
        }
        let chosen = best.state;
        let is_source =
            |s: &&ServerState| s.server.id != chosen.server.id && s.weights == chosen.weights;
        let others = self.servers.in_pool(&service.pool);
        let others: SmallVec<[&ServerState; 16]> = others
            .filter(is_source)
            .filter(|s| s.accepts(now))
            .collect();
        let rendezvous = Rendezvous::new(request.prompt.prefix());
        let blocks = request.prompt.blocks();
        let cached = index.cached_tokens(&chosen.server.id, chosen.incarnation, blocks);
        // Only confirmed blocks count: a server that was sent the prompt may not have computed
        // it yet.
        let mut confirmed =
            |s: &ServerState| index.confirmed_tokens(&s.server.id, s.incarnation, blocks);
        let fullest = others
            .into_iter()
            .map(|s| {
                (
                    confirmed(s),
                    rendezvous.weight(&s.server.id),
                    s.server.address,
                )
            })
            .max_by_key(|(tokens, weight, _)| (*tokens, *weight))?;
        let worthwhile = fullest.0 > cached || cached < request.prompt.prefix_tokens();
        worthwhile.then_some(fullest.2)
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
