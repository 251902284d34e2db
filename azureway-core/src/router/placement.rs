//! Finding a backend server for a request.

use std::time::Duration;

use crate::cache::CacheIndex;
use crate::domain::{ModelService, Request, ServerId, ServiceKind, Timestamp, ZoneId};
use crate::fleet::{ServerState, ServerTable};
use crate::route::{Candidate, Job, Policy};

/// What is looked at to find a backend server for a request.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The servers.
    pub servers: &'a ServerTable,
    /// The index of cached blocks.
    pub index: &'a CacheIndex,
    /// The availability zone of the entry.
    pub zone: &'a ZoneId,
    /// The time one way over a link to another availability zone.
    pub link: Duration,
    /// The server that failed the request last, which is taken only if there is no other.
    pub failed: Option<&'a ServerId>,
}

impl<'a> Placement<'a> {
    /// Returns the servers that can take the request now, in the order of their names.
    pub fn candidates(
        &self,
        request: &Request,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Vec<Candidate<'a>> {
        let all = self.servers.of_pool(&service.pool);
        let fit = all.filter(|s| fits(s, request, service, now));
        let all: Vec<_> = fit.map(|s| self.candidate(s, request)).collect();
        let other = prefer(all, |c| Some(&c.state.server.id) != self.failed);
        prefer(other, |c| c.state.server.zone == *self.zone)
    }

    /// Chooses a server for the request.
    pub fn choose<P: Policy>(
        &self,
        policy: &mut P,
        request: &Request,
        service: &'a ModelService,
        now: Timestamp,
    ) -> Option<Candidate<'a>> {
        let candidates = self.candidates(request, service, now);
        let job = Job {
            prefix: request.chain.prefix(),
            rank: request.rank,
            prompt: request.chain.tokens(),
        };
        policy
            .choose(job, &candidates, now)
            .map(|place| candidates[place])
    }

    fn candidate(&self, state: &'a ServerState, request: &Request) -> Candidate<'a> {
        let cached = self
            .index
            .cached(&state.server.id, state.incarnation, request.chain.blocks());
        let local = state.server.zone == *self.zone;
        Candidate {
            state,
            cached,
            link: if local { Duration::ZERO } else { self.link },
        }
    }
}

/// Tells whether a server can take a request to `service` now.
fn fits(state: &ServerState, request: &Request, service: &ModelService, now: Timestamp) -> bool {
    let weights = service.kind == ServiceKind::Plain
        || state.weights.is_none_or(|loaded| loaded == request.weights);
    weights && state.accepts(now) && state.flights() < state.server.slots
}

/// Returns the candidates that are preferred, or all if none is.
fn prefer<'a>(
    all: Vec<Candidate<'a>>,
    preferred: impl Fn(&Candidate<'_>) -> bool,
) -> Vec<Candidate<'a>> {
    if all.iter().any(&preferred) {
        all.into_iter().filter(preferred).collect()
    } else {
        all
    }
}
