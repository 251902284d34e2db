//! The backend servers by name.

use std::collections::BTreeMap;

use super::{Fleet, LoadReport, ServerState};
use crate::domain::{PoolId, ServerId, Timestamp, TokenCount};
use crate::event::FailureKind;

/// What is known of every backend server, in the order of their names.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the servers of a new configuration and keeps what is known of old ones.
    pub fn adopt(&mut self, fleet: &Fleet) {
        self.servers.retain(|id, s| {
            // Another address means another process: nothing that was known holds for it.
            fleet
                .servers
                .get(id)
                .is_some_and(|new| new.address == s.server.address)
        });
        for (id, server) in &fleet.servers {
            match self.servers.get_mut(id) {
                Some(state) => state.server = server.clone(),
                None => drop(
                    self.servers
                        .insert(id.clone(), ServerState::new(server.clone())),
                ),
            }
        }
    }

    /// Takes in a report. Returns whether the server has restarted under this entry's work.
    pub fn report(&mut self, report: &LoadReport) -> bool {
        self.servers
            .get_mut(&report.server)
            .is_some_and(|s| s.report(report))
    }

    /// Notes that a request with `owed` uncached prompt tokens is in flight at a server.
    pub fn begin(&mut self, server: &ServerId, owed: TokenCount) {
        self.change(server, |s| s.begin(owed));
    }

    /// Notes that a server computed `owed` prompt tokens.
    pub fn settle(&mut self, server: &ServerId, owed: TokenCount) {
        self.change(server, |s| s.settle(owed));
    }

    /// Notes that a request is no longer in flight at a server.
    pub fn release(&mut self, server: &ServerId, owed: TokenCount) {
        self.change(server, |s| s.release(owed));
    }

    /// Notes a failure at a server.
    pub fn blame(&mut self, server: &ServerId, kind: FailureKind, now: Timestamp) {
        self.change(server, |s| s.blame(kind, now));
    }

    /// Notes an answer of a server.
    pub fn clear(&mut self, server: &ServerId) {
        self.change(server, ServerState::clear);
    }

    /// Returns the time, not before `now`, at which the next suspected server is tried again.
    pub fn next_trial(&self, now: Timestamp) -> Option<Timestamp> {
        let trials = self.servers.values().filter_map(ServerState::trial);
        trials.filter(|t| *t >= now).min()
    }

    /// Returns a server.
    pub fn get(&self, id: &ServerId) -> Option<&ServerState> {
        self.servers.get(id)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Returns the servers of a pool.
    pub fn of_pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a ServerState> {
        self.servers
            .values()
            .filter(move |s| s.server.pool == *pool)
    }

    /// Tells whether every server of a pool refuses a second call with the same key by itself.
    pub fn all_keyed(&self, pool: &PoolId) -> bool {
        let mut servers = self.of_pool(pool).peekable();
        servers.peek().is_some() && servers.all(|s| s.server.keyed)
    }

    fn change(&mut self, server: &ServerId, change: impl FnOnce(&mut ServerState)) {
        if let Some(state) = self.servers.get_mut(server) {
            change(state);
        }
    }
}
