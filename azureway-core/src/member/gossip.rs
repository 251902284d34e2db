//! The news that instances pass on to one another.

use super::{GossipUpdate, Liveness, MemberUpdate, PeerTable, PendingUpdates, SeenUpdates};
use crate::domain::Timestamp;

/// The news that instances pass on to one another: what was heard, and what of it still has
/// to be passed on.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    board: PendingUpdates,
    seen_news: SeenUpdates,
}

impl Gossip {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in news of a backend server or a request. Returns whether it was new.
    pub fn merge(&mut self, news: &GossipUpdate, now: Timestamp) -> bool {
        let fresh = self.seen_news.merge(news, now);
        if fresh {
            self.board.push(news.clone());
        }
        fresh
    }

    /// Passes on news of an instance.
    pub fn push(&mut self, news: &MemberUpdate) {
        self.board.push(GossipUpdate::Member(news.clone()));
    }

    /// Returns up to `count` pieces of the latest news for one heartbeat in a group of `size`.
    pub fn latest(&mut self, count: usize, size: usize, now: Timestamp) -> Vec<GossipUpdate> {
        let current = |news: GossipUpdate| match news {
            GossipUpdate::Member(_) | GossipUpdate::Loading(_) => Some(news),
            GossipUpdate::Server(_) | GossipUpdate::Strike(_) => {
                self.seen_news.refreshed(&news, now)
            }
        };
        let taken = self.board.take(count, size);
        taken.into_iter().filter_map(current).collect()
    }

    /// Returns all news that still hold, with those of the instances in `peers`.
    pub fn everything(&self, peers: &PeerTable, now: Timestamp) -> Vec<GossipUpdate> {
        let heard = peers
            .iter()
            .filter(|m| m.latest.liveness > Liveness::Listed);
        let members = heard.map(|m| GossipUpdate::Member(m.latest.clone()));
        members.chain(self.seen_news.all(now)).collect()
    }
}
