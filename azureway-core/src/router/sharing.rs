//! Where entries share servers: what a placement does about prefixes that servers can fetch.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use super::Placement;
use crate::domain::{ModelService, Request, Timestamp};
use crate::fleet::ServerState;
use crate::route::{Candidate, Rendezvous};

impl<'a> Placement<'a> {
    /// Returns the address of a server that is believed to hold more of the prompt than the
    /// chosen one. Where no server is known to, it is the one that the prefix is kept on first:
    /// a fetch that finds nothing costs far less than computing the prefix again.
    pub fn source(
        &mut self,
        request: &Request,
        service: &'a ModelService,
        best: &Candidate<'_>,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        if !service.peer_fetch || request.chain.blocks().is_empty() {
            return None;
        }
        let own = best.state;
        let same = |s: &&ServerState| s.server.id != own.server.id && s.weights == own.weights;
        let others = self.servers.in_pool(&service.pool);
        let others: SmallVec<[&ServerState; 16]> =
            others.filter(same).filter(|s| s.accepts(now)).collect();
        let order = Rendezvous::new(request.chain.prefix());
        let blocks = request.chain.blocks();
        let known = self
            .index
            .cached_tokens(&own.server.id, own.incarnation, blocks);
        // A server that was only sent the prompt may not have computed it yet.
        let mut confirmed = |s: &ServerState| {
            self.index
                .confirmed_tokens(&s.server.id, s.incarnation, blocks)
        };
        let most = others
            .into_iter()
            .map(|s| (confirmed(s), order.weight(&s.server.id), s.server.address))
            .max_by_key(|(tokens, weight, _)| (*tokens, *weight))?;
        let more = most.0 > known || known < request.chain.prefix_tokens();
        more.then_some(most.2)
    }

    /// Tells whether a prompt is kept in one place for all regions: where entries share the
    /// servers, and computing the shared prefix once more takes longer than the way there.
    pub(super) fn is_wide(&self, request: &Request, service: &ModelService) -> bool {
        let shared = request.chain.prefix_tokens();
        let first = self.servers.in_pool(&service.pool).next();
        let prefill = first.map_or(Duration::ZERO, |s| s.server.prefill.time_for(shared));
        let way = self.config.remote_latency * 2 + self.toll(request);
        self.config.shared_servers && prefill > way
    }

    /// Returns what sending a request to another region costs, as time.
    pub(super) fn toll(&self, request: &Request) -> Duration {
        self.config.traffic_rate.time_for(request.chain.tokens())
    }
}
