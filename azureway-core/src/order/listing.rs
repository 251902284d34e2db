//! The planner's method that applies what the platform lists of servers.

use super::OrderPlanner;
use crate::domain::{BackendServer, ListedState};
use crate::fleet::Fleet;

impl OrderPlanner {
    /// Applies the state of the servers in the platform's list as `fleet` has it, after that of `old`.
    pub(super) fn apply_listed_weights(&mut self, fleet: &Fleet, old: &Fleet) {
        for server in fleet.servers.values() {
            if self.counts.observe_listing(server) {
                // The load of an earlier incarnation has ended with it.
                self.end_load(&server.id);
                self.reported.remove(&server.id);
            }
            if let Some(listed) = server.listed {
                let before = old.servers.get(&server.id).and_then(|s| s.listed);
                self.apply_listing(server, listed, before);
            }
        }
    }

    fn apply_listing(
        &mut self,
        server: &BackendServer,
        listed: ListedState,
        before: Option<ListedState>,
    ) {
        let Some(weights) = listed.weights else {
            return;
        };
        // The list lags behind the servers' responses. Only if it goes back itself, the server may have. An
        // order that is not needed does no harm.
        let known = self.reported.get(&server.id).copied();
        let known = known.filter(|_| !listed.is_reverted(before));
        let known = known.unwrap_or_default();
        self.reported.insert(server.id.clone(), known.max(weights));
        let load = self.loads.get(&server.id);
        if load.is_some_and(|l| l.weights <= weights) {
            self.end_load(&server.id);
        }
    }
}
