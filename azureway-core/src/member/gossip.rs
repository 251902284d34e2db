//! The updates that the membership knows, and the queue of those that it still passes on.

use super::{GossipUpdate, Liveness, MemberUpdate, PeerTable, PendingUpdates, SeenUpdates};
use crate::domain::Timestamp;

/// Gossip state: the updates that are known, and those that still have to be passed on.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    pending: PendingUpdates,
    seen: SeenUpdates,
}

impl Gossip {
    /// Creates the state without any update.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an update about a backend server or a request. Returns whether it was new.
    pub fn merge(&mut self, update: &GossipUpdate, now: Timestamp) -> bool {
        let is_new = self.seen.merge(update, now);
        if is_new {
            self.pending.push(update.clone());
        }
        is_new
    }

    /// Merges an update that heartbeats need not carry, since its origin has announced it to every
    /// peer. Returns whether it was new.
    pub fn record(&mut self, update: &GossipUpdate, now: Timestamp) -> bool {
        self.seen.merge(update, now)
    }

    /// Queues an update about an instance for the next heartbeats.
    pub fn enqueue(&mut self, update: &MemberUpdate) {
        self.pending.push(GossipUpdate::Member(update.clone()));
    }

    /// Returns up to `count` queued updates for one heartbeat in a group of `size` instances.
    pub fn next_batch(&mut self, count: usize, size: usize, now: Timestamp) -> Vec<GossipUpdate> {
        let refresh = |update: GossipUpdate| match update {
            GossipUpdate::Member(_) | GossipUpdate::Loading(_) => Some(update),
            GossipUpdate::Server(_) | GossipUpdate::CrashReport(_) => {
                self.seen.current(&update, now)
            }
        };
        let taken = self.pending.take(count, size);
        taken.into_iter().filter_map(refresh).collect()
    }

    /// Returns all updates that are still valid, including those about the instances in `peers`.
    pub fn all(&self, peers: &PeerTable, now: Timestamp) -> Vec<GossipUpdate> {
        let known = peers
            .iter()
            .filter(|m| m.latest.liveness > Liveness::Listed);
        let members = known.map(|m| GossipUpdate::Member(m.latest.clone()));
        members.chain(self.seen.all(now)).collect()
    }
}
