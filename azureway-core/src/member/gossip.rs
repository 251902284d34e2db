//! The news that instances pass on to one another.

use super::{Liveness, MemberNews, News, PeerTable, PendingNews, SeenNews};
use crate::domain::Timestamp;

/// The news that instances pass on to one another: what was heard, and what of it still has
/// to be passed on.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    board: PendingNews,
    seen_news: SeenNews,
}

impl Gossip {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in news of a backend server or a request. Returns whether it was new.
    pub fn merge(&mut self, news: &News, now: Timestamp) -> bool {
        let fresh = self.seen_news.merge(news, now);
        if fresh {
            self.board.push(news.clone());
        }
        fresh
    }

    /// Passes on news of an instance.
    pub fn push(&mut self, news: &MemberNews) {
        self.board.push(News::Member(news.clone()));
    }

    /// Returns up to `count` pieces of the latest news for one heartbeat in a group of `size`.
    pub fn latest(&mut self, count: usize, size: usize, now: Timestamp) -> Vec<News> {
        let current = |news: News| match news {
            News::Member(_) | News::Loading(_) => Some(news),
            News::Server(_) | News::Strike(_) => self.seen_news.refreshed(&news, now),
        };
        let taken = self.board.take(count, size);
        taken.into_iter().filter_map(current).collect()
    }

    /// Returns all news that still hold, with those of the instances in `peers`.
    pub fn everything(&self, peers: &PeerTable, now: Timestamp) -> Vec<News> {
        let heard = peers.iter().filter(|m| m.news.liveness > Liveness::Listed);
        let members = heard.map(|m| News::Member(m.news.clone()));
        members.chain(self.seen_news.all(now)).collect()
    }
}
