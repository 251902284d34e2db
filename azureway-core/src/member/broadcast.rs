//! The membership methods that publish updates originating at this instance.

use super::{GossipUpdate, Heartbeat, LoadNotice, Membership, PeerAction};
use crate::domain::Timestamp;
use crate::quarantine::{CrashReport, CrashSubject};

impl Membership {
    /// Passes on an update that originates here, if it is new.
    pub(super) fn publish(&mut self, update: GossipUpdate, now: Timestamp) {
        if self.gossip.merge(&update, now) {
            // Does not wait for a regular round: the request may be retried at another entry.
            self.round_timer.bring_forward(now);
        }
    }

    /// Passes on a crash report that originates here.
    pub(super) fn publish_report(&mut self, report: &CrashReport, now: Timestamp) {
        let update = GossipUpdate::CrashReport(report.clone());
        match report.subject {
            CrashSubject::Request(_) => self.publish(update, now),
            // A part comes at every entry at once, so there is no time for rounds of gossip.
            CrashSubject::Part(_) if self.gossip.record(&update, now) => {
                self.announcer.push(report, now);
            }
            CrashSubject::Part(_) => {}
        }
    }

    /// Tells every peer at once that a backend server is about to load weights.
    pub(super) fn announce_load(&mut self, loading: &LoadNotice, out: &mut Vec<PeerAction>) {
        self.announce(vec![GossipUpdate::Loading(loading.clone())], out);
    }

    /// Sends the crash reports that are due to every peer.
    pub(super) fn announce_reports(&mut self, now: Timestamp, out: &mut Vec<PeerAction>) {
        let updates = self.announcer.take_due(now);
        if !updates.is_empty() {
            self.announce(updates, out);
        }
    }

    /// Sends updates to every peer at once.
    fn announce(&mut self, updates: Vec<GossipUpdate>, out: &mut Vec<PeerAction>) {
        let beat = Heartbeat {
            from: self.me.clone(),
            version: self.config_fetcher.version(),
            digest: self.peers.digest(&self.me),
            full: false,
            updates,
            demand: Vec::new(),
            zones: Vec::new(),
        };
        let members = self.peers.iter().filter(|m| !m.latest.liveness.is_gone());
        let peers = members.map(|m| m.latest.instance.clone());
        out.extend(peers.map(|peer| PeerAction::Announce(peer, beat.clone())));
    }

    /// Announces to peers of the zone that this instance leaves, and ends the rounds.
    pub(super) fn leave(&mut self, out: &mut Vec<PeerAction>) {
        self.left = true;
        let now = self.last_event;
        let live = self.peers.live_in_zone(&self.me.zone);
        let peers: Vec<_> = live.map(|m| m.latest.instance.clone()).collect();
        for peer in peers.into_iter().take(2 * self.config.fanout) {
            let beat = self.compose(Some(&peer.id), false, now);
            out.push(PeerAction::Send(peer, beat));
        }
    }
}
