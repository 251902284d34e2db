//! Finds the runtime state of backend servers by name or pool, and applies updates to it.

use std::collections::HashMap;
use std::ops::Range;

use super::{Fleet, GoneServer, GoneServers, LeavingCause, LeavingMarks, LoadReport, ServerState};
use crate::domain::{PoolId, Request, ServerId, Timestamp};
use crate::member::LoadNotice;

/// The runtime state of every backend server. The servers of a pool are stored contiguously, in
/// the order of their names.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) servers: Vec<ServerState>,
    pub(super) positions: HashMap<ServerId, usize>,
    pools: HashMap<PoolId, Range<usize>>,
    entries: u32,
    seed: u64,
    leaving: Vec<ServerId>,
    /// The servers that the configuration no longer has.
    pub(super) gone: GoneServers,
    /// The number of holds that began.
    pub(super) pauses: u64,
    /// The latest end of a pause.
    pub(super) last_pause: Timestamp,
    pub(super) marks: LeavingMarks,
}

impl ServerTable {
    /// Creates an empty table for a single entry instance.
    pub fn new() -> Self {
        Self {
            entries: 1,
            ..Self::default()
        }
    }

    /// Sets the seed by which entries that share servers differ.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Applies the servers of a new configuration and keeps the states of those that remain.
    /// Returns the servers whose known cached blocks are invalid.
    pub fn reconfigure(&mut self, fleet: &Fleet) -> Vec<ServerId> {
        let (entries, seed) = (self.entries, self.seed);
        let old = std::mem::take(&mut self.servers);
        let mut old: HashMap<_, _> = old.into_iter().map(|s| (s.server.id.clone(), s)).collect();
        let mut invalidated = Vec::new();
        for (id, server) in &fleet.servers {
            // A changed address means another process: the old state does not apply to it.
            let kept = old.remove(id);
            let kept = kept.filter(|s| {
                let same = s.server.address == server.address;
                invalidated.extend((!same).then(|| id.clone()));
                if !same && server.listed.is_none() {
                    self.marks.remove(id, LeavingCause::Restart);
                }
                same
            });
            let mut state = kept.unwrap_or_else(|| {
                let state = ServerState::new(server.clone(), entries, seed);
                state.with_hold(self.gone.take_hold(server))
            });
            invalidated.extend(state.reconfigure(server, entries).then(|| id.clone()));
            state.set_listed_leaving(self.leaving.contains(id));
            self.end_earlier_mark(id, state.incarnation);
            state.set_announced(self.marks.is_active(id, state.incarnation));
            self.servers.push(state);
        }
        for (id, state) in old {
            // A request may still run there, and its answer may ask for a pause.
            self.gone.insert(GoneServer::new(&state));
            invalidated.push(id);
        }
        self.rebuild_indexes();
        invalidated
    }

    /// Sets the number of live entries that share the servers, including this one.
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

    /// Applies a load report. Returns the pool of the server, if the server is known.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) -> Option<&PoolId> {
        self.get_mut(&report.server)?.apply_report(report, now);
        self.check_mark(report);
        self.get(&report.server).map(|s| &s.server.pool)
    }

    /// Applies a notice that a server is about to load weights or has loaded them. Returns
    /// whether the cached blocks known for the server are invalid.
    pub fn apply_loading(&mut self, loading: &LoadNotice, now: Timestamp) -> bool {
        let state = self.get_mut(&loading.server);
        state.is_some_and(|s| s.apply_loading(loading, now))
    }

    /// Sets which servers the platform lists as draining, including servers that only a later
    /// configuration adds.
    pub fn set_listed_leaving(&mut self, list: &[ServerId]) {
        self.leaving = list.to_vec();
        for state in &mut self.servers {
            state.set_listed_leaving(list.contains(&state.server.id));
        }
    }

    /// Returns the earliest time, not before `now`, at which a server is tried again after a
    /// failure, a rejection or an announcement that it leaves.
    pub fn next_retry(&self, now: Timestamp) -> Option<Timestamp> {
        let times = self.servers.iter().filter_map(ServerState::retry_at);
        let times = times.chain(self.marks.next_expiry());
        times.filter(|t| *t >= now).min()
    }

    /// Returns the rate, in requests per second, at which this entry may send to the servers of a pool,
    /// or `None` if any server that accepts requests names no limit.
    pub fn limited_rate(&self, pool: &PoolId, now: Timestamp) -> Option<f64> {
        let servers = self.in_pool(pool).filter(|s| s.accepts(now));
        let rates: Option<Vec<f64>> = servers.map(|s| s.rate.rate()).collect();
        rates.filter(|r| !r.is_empty()).map(|r| r.iter().sum())
    }

    /// Returns whether some server of a pool, or one that may be added, can hold the prompt of a request.
    pub fn can_hold(&self, pool: &PoolId, request: &Request) -> bool {
        let mut servers = self.in_pool(pool).peekable();
        servers.peek().is_none() || servers.any(|s| s.can_hold(request))
    }

    /// Returns the state of a server.
    pub fn get(&self, id: &ServerId) -> Option<&ServerState> {
        self.positions.get(id).map(|i| &self.servers[*i])
    }

    /// Returns the state of a server for modification.
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut ServerState> {
        self.positions.get(id).map(|i| &mut self.servers[*i])
    }

    /// Returns the states of all servers.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// Returns the states of a pool's servers in the order of their names.
    pub fn in_pool(&self, pool: &PoolId) -> std::slice::Iter<'_, ServerState> {
        let range = self.pools.get(pool).cloned().unwrap_or_default();
        self.servers[range].iter()
    }

    /// Returns whether the pool has servers and each of them rejects a second request with the
    /// same idempotency key.
    pub fn all_deduplicate(&self, pool: &PoolId) -> bool {
        let mut servers = self.in_pool(pool).peekable();
        servers.peek().is_some() && servers.all(|s| s.server.deduplicates)
    }

    fn rebuild_indexes(&mut self) {
        // The sort is stable, so names stay in order within a pool.
        self.servers
            .sort_by(|a, b| a.server.pool.cmp(&b.server.pool));
        let ids = self.servers.iter().map(|s| s.server.id.clone());
        self.positions = ids.enumerate().map(|(i, id)| (id, i)).collect();
        self.pools.clear();
        for (position, state) in self.servers.iter().enumerate() {
            let range = self.pools.entry(state.server.pool.clone());
            range.or_insert(position..position).end = position + 1;
        }
    }
}
