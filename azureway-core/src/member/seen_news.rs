//! The news of backend servers and requests that this instance has heard.

use std::time::Duration;

use super::News;
use crate::domain::Timestamp;

/// The news of backend servers and requests that this instance has heard, so that each is
/// taken over and passed on once, and a peer that starts gets all of them.
#[derive(Clone, Debug, Default)]
pub struct SeenNews {
    items: Vec<(Timestamp, News)>,
}

/// The items that are kept at most.
const ITEMS_MAX: usize = 1_024;
/// How long news of a backend server is kept: as long as a server takes to leave.
const SERVER_TIME: Duration = Duration::from_secs(600);

impl SeenNews {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in news. Returns whether it was new.
    pub fn merge(&mut self, news: &News, now: Timestamp) -> bool {
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
    pub fn all(&self, now: Timestamp) -> impl Iterator<Item = News> {
        let valid = self.items.iter().filter(move |(until, _)| *until > now);
        valid.map(move |(until, news)| aged(news, until.since(now)))
    }

    /// Returns news with the time for which it still holds, if it does.
    pub fn refreshed(&self, news: &News, now: Timestamp) -> Option<News> {
        let (until, known) = self.items.iter().find(|(_, old)| old.is_about(news))?;
        (*until > now).then(|| aged(known, until.since(now)))
    }
}

fn holds(news: &News) -> Duration {
    match news {
        News::Strike(strike) => strike.left,
        News::Server(_) | News::Member(_) => SERVER_TIME,
        News::Loading(loading) => loading.time,
    }
}

fn replaces(news: &News, old: &News) -> bool {
    match (news, old) {
        (News::Server(news), News::Server(old)) => news.replaces(old),
        (News::Strike(news), News::Strike(old)) => news.state > old.state,
        _ => false,
    }
}

fn aged(news: &News, left: Duration) -> News {
    let mut news = news.clone();
    if let News::Strike(strike) = &mut news {
        strike.left = left;
    }
    news
}
