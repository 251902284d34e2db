//! The backend servers by pool and name.

use std::collections::HashMap;
use std::ops::Range;

use super::{Fleet, LoadReport, ServerState};
use crate::domain::{PoolId, ServerId, Timestamp};
use crate::member::{LoadNotice, ServerUpdate};

/// What is known of every backend server. The servers of a pool stand side by side, in the
/// order of their names.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: Vec<ServerState>,
    places: HashMap<ServerId, usize>,
    pools: HashMap<PoolId, Range<usize>>,
    entries: u32,
    leaving: Vec<ServerId>,
}

impl ServerTable {
    /// Creates an empty table for a single entry.
    pub fn new() -> Self {
        Self {
            entries: 1,
            ..Self::default()
        }
    }

    /// Takes over the servers of a new configuration and keeps what is known of old ones.
    /// Returns the servers of which nothing holds any more.
    pub fn reconfigure(&mut self, fleet: &Fleet) -> Vec<ServerId> {
        let entries = self.entries;
        let old = std::mem::take(&mut self.servers);
        let mut old: HashMap<_, _> = old.into_iter().map(|s| (s.server.id.clone(), s)).collect();
        let mut gone = Vec::new();
        for (id, server) in &fleet.servers {
            // Another address means another process: nothing that was known holds for it.
            let kept = old.remove(id);
            let kept = kept.filter(|s| {
                let same = s.server.address == server.address;
                gone.extend((!same).then(|| id.clone()));
                same
            });
            let mut state = kept.unwrap_or_else(|| ServerState::new(server.clone(), entries));
            gone.extend(state.reconfigure(server, entries).then(|| id.clone()));
            state.set_listed_leaving(self.leaving.contains(id));
            self.servers.push(state);
        }
        gone.extend(old.into_keys());
        self.arrange();
        gone
    }

    /// Sets the number of live entries that share the servers, with this one.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
        for state in &mut self.servers {
            let server = state.server.clone();
            state.reconfigure(&server, self.entries);
        }
    }

    /// Returns the number of live entries that share the servers.
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    /// Takes in a report. Returns the pool of the server.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) -> Option<&PoolId> {
        let state = self.get_mut(&report.server)?;
        state.apply_report(report, now);
        Some(&state.server.pool)
    }

    /// Takes in what another entry said of a server.
    pub fn apply_news(&mut self, news: &ServerUpdate) {
        if let Some(state) = self.get_mut(&news.server) {
            state.apply_news(news);
        }
    }

    /// Takes in that a server is about to load weights or has loaded them. Returns whether
    /// what is known of its cache no longer holds.
    pub fn apply_loading(&mut self, loading: &LoadNotice, now: Timestamp) -> bool {
        let state = self.get_mut(&loading.server);
        state.is_some_and(|s| s.apply_loading(loading, now))
    }

    /// Notes which servers the platform lists as leaving, also for those that a later
    /// configuration brings.
    pub fn set_listed_leaving(&mut self, list: &[ServerId]) {
        self.leaving = list.to_vec();
        for state in &mut self.servers {
            state.set_listed_leaving(list.contains(&state.server.id));
        }
    }

    /// Returns the time, not before `now`, at which the next suspected server is tried again.
    pub fn next_retry(&self, now: Timestamp) -> Option<Timestamp> {
        let times = self.servers.iter().filter_map(ServerState::retry_at);
        times.filter(|t| *t >= now).min()
    }

    /// Returns a server.
    pub fn get(&self, id: &ServerId) -> Option<&ServerState> {
        self.places.get(id).map(|place| &self.servers[*place])
    }

    /// Returns a server, to be changed.
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut ServerState> {
        self.places.get(id).map(|place| &mut self.servers[*place])
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// Returns the servers of a pool in the order of their names.
    pub fn in_pool(&self, pool: &PoolId) -> std::slice::Iter<'_, ServerState> {
        let range = self.pools.get(pool).cloned().unwrap_or_default();
        self.servers[range].iter()
    }

    /// Tells whether every server of a pool refuses a second call with the same key by itself.
    pub fn all_keyed(&self, pool: &PoolId) -> bool {
        let mut servers = self.in_pool(pool).peekable();
        servers.peek().is_some() && servers.all(|s| s.server.deduplicates)
    }

    fn arrange(&mut self) {
        // The sort is stable, so that the names stay in order within a pool.
        self.servers
            .sort_by(|a, b| a.server.pool.cmp(&b.server.pool));
        let names = self.servers.iter().map(|s| s.server.id.clone());
        self.places = names.enumerate().map(|(place, id)| (id, place)).collect();
        self.pools.clear();
        for (place, state) in self.servers.iter().enumerate() {
            let range = self.pools.entry(state.server.pool.clone());
            range.or_insert(place..place).end = place + 1;
        }
    }
}
