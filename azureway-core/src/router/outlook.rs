//! Predicts which servers of a pool may serve requests while the older weights of others have ended.

use std::time::Duration;

use smallvec::SmallVec;

use crate::domain::{ModelService, Timestamp};
use crate::fleet::{ServerState, ServerTable};

/// The servers of a pool that may serve requests now or after an announced load of weights, if others
/// must not serve because their weights are outdated.
#[derive(Clone, Debug)]
pub struct Outlook {
    /// For each server the time from which it may serve, and its requests per second.
    servers: SmallVec<[(Timestamp, f64); 16]>,
    /// The number of entries that share the servers.
    entries: u32,
}

/// The factor by which this entry may get more of the servers than its equal share, while other entries
/// send less.
const SHARE_FACTOR: f64 = 2.0;

impl Outlook {
    /// Returns the outlook of a service at `now`, or `None` if no server has outdated weights.
    pub fn new(service: &ModelService, table: &ServerTable, now: Timestamp) -> Option<Self> {
        let rollout = service.rollout.as_ref()?;
        if rollout.versions.is_empty() {
            return None;
        }
        let allowed = |s: &ServerState| s.weights.is_none_or(|w| rollout.allows(w, now));
        let mut servers = table.in_pool(&service.pool);
        if servers.all(allowed) {
            return None;
        }
        let servers = table.in_pool(&service.pool).filter_map(|state| {
            let from = state.available_from(now)?;
            let serves = allowed(state) || state.is_held(now);
            serves.then(|| (from, state.request_rate()))
        });
        Some(Self {
            servers: servers.collect(),
            entries: table.entries(),
        })
    }

    /// Returns the time from which the first server may serve, if there is one.
    fn first(&self) -> Option<Timestamp> {
        self.servers.iter().map(|(from, _)| *from).min()
    }

    /// Returns whether this entry's part of the servers may serve a request by `deadline` that has `ahead`
    /// requests before it.
    pub fn allows(&self, ahead: usize, deadline: Timestamp) -> bool {
        let share = SHARE_FACTOR / f64::from(self.entries.max(1));
        let time = |from: Timestamp| deadline.since(from).as_secs_f64();
        let served: f64 = self
            .servers
            .iter()
            .map(|(from, rate)| rate * time(*from))
            .sum();
        let usable = self.first().is_some_and(|from| from <= deadline);
        usable && (ahead == 0 || (ahead as f64) < served * share)
    }

    /// Returns the time until the first server that may not serve yet is expected to, if there is one.
    pub fn next_server(&self, now: Timestamp) -> Option<Duration> {
        let later = self.servers.iter().filter(|(from, _)| now < *from);
        later.map(|(from, _)| from.since(now)).min()
    }
}
