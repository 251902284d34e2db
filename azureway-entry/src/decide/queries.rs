//! Answers to queries, which change no decision.

use azureway_core::prelude::Policy;

use super::{DaemonStatus, Decider, Query};
use crate::feed::Subscribe;
use crate::relay::Launch;

impl<P: Policy, L: Launch, S: Subscribe> Decider<P, L, S> {
    /// Answers a query. The reply's ring has room for one message, so sending fails only if its
    /// receiver is gone.
    pub(super) fn answer_query(&mut self, query: Query) {
        match query {
            Query::AwaitVersion(version, reply) => {
                let current = self.router.fleet().version;
                self.versions.add_waiter(version, reply, current);
            }
            Query::Status(reply) => drop(reply.try_send(self.status())),
            Query::Explain(request, reply) => {
                let options = self.router.explain(&request, self.clock.now());
                // The admitting duty found the service, so it is missing here only if the
                // configuration has changed in between.
                let _ = reply.try_send(Ok((request, options.unwrap_or_default())));
            }
        }
    }

    fn status(&self) -> DaemonStatus {
        DaemonStatus {
            at: self.clock.now(),
            overview: self.router.overview(),
            rejected: self.versions.rejected(),
            servers: self.router.servers().iter().cloned().collect(),
        }
    }
}
