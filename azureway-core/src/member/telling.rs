//! What a membership tells its peers by itself.

use super::{GossipUpdate, Heartbeat, LoadNotice, Membership, PeerAction};
use crate::domain::Timestamp;

impl Membership {
    /// Tells peers what was found here.
    pub(super) fn tell(&mut self, news: GossipUpdate, now: Timestamp) {
        if self.gossip.merge(&news, now) {
            // It is not kept until the next round: the request may come back elsewhere.
            self.pace.hurry(now);
        }
    }

    /// Tells every peer at once that a backend server is about to load weights.
    pub(super) fn announce(&mut self, loading: &LoadNotice, out: &mut Vec<PeerAction>) {
        let there = self.peers.iter().filter(|m| !m.latest.liveness.is_gone());
        for member in there {
            let beat = Heartbeat {
                from: self.me.clone(),
                version: self.catchup.version(),
                digest: self.peers.digest(&self.me),
                full: false,
                updates: vec![GossipUpdate::Loading(loading.clone())],
                demand: Vec::new(),
            };
            out.push(PeerAction::Send(member.latest.instance.clone(), beat));
        }
    }

    pub(super) fn leave(&mut self, out: &mut Vec<PeerAction>) {
        self.left = true;
        let now = self.seen;
        let live = self.peers.live_in_zone(&self.me.zone);
        let peers: Vec<_> = live.map(|m| m.latest.instance.clone()).collect();
        for peer in peers.into_iter().take(2 * self.config.fanout) {
            let beat = self.compose(Some(&peer.id), false, now);
            out.push(PeerAction::Send(peer, beat));
        }
    }
}
