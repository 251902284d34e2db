//! The news of backend servers and requests that this instance has heard.

use std::time::Duration;

use super::GossipUpdate;
use crate::domain::Timestamp;

/// The news of backend servers and requests that this instance has heard, so that each is
/// taken over and passed on once, and a peer that starts gets all of them.
#[derive(Clone, Debug, Default)]
pub struct SeenUpdates {
    items: Vec<(Timestamp, GossipUpdate)>,
}

/// The items that are kept at most.
const ITEMS_MAX: usize = 1_024;
/// How long news of a backend server is kept: as long as a server takes to leave.
const SERVER_TIME: Duration = Duration::from_secs(600);

impl SeenUpdates {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in news. Returns whether it was new.
    pub fn merge(&mut self, news: &GossipUpdate, now: Timestamp) -> bool {
        self.items.retain(|(until, _)| *until > now);
        let until = now + holds(news);
        if until <= now {
            return false;
        }
        let known = self.items.iter_mut().find(|(_, old)| old.is_about(news));
        match known {
            Some((_, old)) if !replaces(news, old) => false,
            Some(item) => {
                *item = (until, news.clone());
                true
            }
            None => {
                if self.items.len() == ITEMS_MAX {
                    self.items.remove(0);
                }
                self.items.push((until, news.clone()));
                true
            }
        }
    }

    /// Returns all news that still hold, with the time for which they do.
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = GossipUpdate> {
        let valid = self.items.iter().filter(move |(until, _)| *until > now);
        valid.map(move |(until, news)| aged(news, until.since(now)))
    }

    /// Returns news with the time for which it still holds, if it does.
    pub fn refreshed(&self, news: &GossipUpdate, now: Timestamp) -> Option<GossipUpdate> {
        let (until, known) = self.items.iter().find(|(_, old)| old.is_about(news))?;
        (*until > now).then(|| aged(known, until.since(now)))
    }
}

fn holds(news: &GossipUpdate) -> Duration {
    match news {
        GossipUpdate::Strike(strike) => strike.ttl,
        GossipUpdate::Server(_) | GossipUpdate::Member(_) => SERVER_TIME,
        GossipUpdate::Loading(loading) => loading.duration,
    }
}

fn replaces(news: &GossipUpdate, old: &GossipUpdate) -> bool {
    match (news, old) {
        (GossipUpdate::Server(news), GossipUpdate::Server(old)) => news.replaces(old),
        (GossipUpdate::Strike(news), GossipUpdate::Strike(old)) => news.state > old.state,
        _ => false,
    }
}

fn aged(news: &GossipUpdate, left: Duration) -> GossipUpdate {
    let mut news = news.clone();
    if let GossipUpdate::Strike(strike) = &mut news {
        strike.ttl = left;
    }
    news
}
