//! Deduplication of updates about backend servers and requests.

use std::time::Duration;

use super::GossipUpdate;
use crate::domain::Timestamp;

/// The known updates about backend servers and requests, each with the time until which it is
/// valid.
///
/// They are kept so that each update is applied and passed on once, and so that a peer that
/// starts gets all of them.
#[derive(Clone, Debug, Default)]
pub struct SeenUpdates {
    items: Vec<(Timestamp, GossipUpdate)>,
}

/// The largest number of updates that are kept.
const ITEMS_MAX: usize = 1_024;
/// The time for which an update about a backend server is kept. It covers the time that a server
/// takes to leave.
const SERVER_RETENTION: Duration = Duration::from_secs(600);

impl SeenUpdates {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an update. Returns whether it was new.
    pub fn merge(&mut self, update: &GossipUpdate, now: Timestamp) -> bool {
        self.items.retain(|(until, _)| *until > now);
        let until = now + validity(update);
        if until <= now {
            return false;
        }
        let known = self
            .items
            .iter_mut()
            .find(|(_, old)| old.same_subject(update));
        match known {
            Some((_, old)) if !replaces(update, old) => false,
            Some(item) => {
                *item = (until, update.clone());
                true
            }
            None => {
                if self.items.len() == ITEMS_MAX {
                    self.items.remove(0);
                }
                self.items.push((until, update.clone()));
                true
            }
        }
    }

    /// Returns all updates that are still valid, with their remaining time.
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = GossipUpdate> {
        let valid = self.items.iter().filter(move |(until, _)| *until > now);
        valid.map(move |(until, update)| with_remaining(update, until.since(now)))
    }

    /// Returns the known update about the same subject with its remaining time, if it is valid.
    pub fn current(&self, update: &GossipUpdate, now: Timestamp) -> Option<GossipUpdate> {
        let (until, known) = self
            .items
            .iter()
            .find(|(_, old)| old.same_subject(update))?;
        (*until > now).then(|| with_remaining(known, until.since(now)))
    }
}

fn validity(update: &GossipUpdate) -> Duration {
    match update {
        GossipUpdate::CrashReport(report) => report.ttl,
        GossipUpdate::Server(_) | GossipUpdate::Member(_) => SERVER_RETENTION,
        GossipUpdate::Loading(loading) => loading.duration,
    }
}

fn replaces(update: &GossipUpdate, old: &GossipUpdate) -> bool {
    match (update, old) {
        (GossipUpdate::Server(update), GossipUpdate::Server(old)) => update.replaces(old),
        (GossipUpdate::CrashReport(update), GossipUpdate::CrashReport(old)) => {
            update.state > old.state
        }
        _ => false,
    }
}

fn with_remaining(update: &GossipUpdate, left: Duration) -> GossipUpdate {
    let mut update = update.clone();
    if let GossipUpdate::CrashReport(report) = &mut update {
        report.ttl = left;
    }
    update
}
