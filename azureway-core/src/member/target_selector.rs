//! Heartbeat targets: peers of the own zone, ends of zone links and peers that are not live.

use super::{LinkSelector, MemberState, MembershipConfig, PeerTable};
use crate::domain::{Instance, InstanceId, ZoneId};
use crate::util::Xorshift;

/// Selects the peers that get a heartbeat in a round.
///
/// These are some peers of the own zone, in shuffled passes that reach each of them, and in
/// every second round also one end of each zone link that this instance maintains and one peer
/// that is not live.
#[derive(Clone, Debug)]
pub struct TargetSelector {
    local_queue: Vec<InstanceId>,
    non_live: Vec<InstanceId>,
    rng: Xorshift,
    round: u64,
}

/// The period, in rounds, of the heartbeats over zone links and to peers that are not live.
const LINK_ROUNDS: u64 = 2;

impl TargetSelector {
    /// Creates a selector. `seed` gives the instances of a zone different orders.
    pub const fn new(seed: u64) -> Self {
        Self {
            local_queue: Vec::new(),
            non_live: Vec::new(),
            rng: Xorshift::new(seed),
            round: 0,
        }
    }

    /// Returns the targets of the next round.
    pub fn select(
        &mut self,
        peers: &PeerTable,
        me: &Instance,
        config: &MembershipConfig,
    ) -> Vec<Instance> {
        self.round += 1;
        let mut chosen = self.select_local(peers, &me.zone, config.fanout);
        if self.round % LINK_ROUNDS == 1 {
            let zones = linked_zones(peers, me, config.zone_links);
            for zone in &zones {
                chosen.extend(self.select_remote(peers, zone, &me.zone, config.zone_links));
            }
            chosen.extend(self.select_non_live(peers, me, &zones));
        }
        chosen
    }

    /// Returns peers of the own zone, including suspects, so that they can refute the suspicion.
    fn select_local(&mut self, peers: &PeerTable, zone: &ZoneId, fanout: usize) -> Vec<Instance> {
        let live = |id: &InstanceId| peers.get(id).filter(|m| m.latest.liveness.is_live());
        let mut chosen: Vec<Instance> = Vec::new();
        let mut refilled = false;
        while chosen.len() < fanout {
            let Some(id) = self.local_queue.pop() else {
                if refilled {
                    break;
                }
                refilled = true;
                self.local_queue = ids(peers.live_in_zone(zone));
                self.rng.shuffle(&mut self.local_queue);
                continue;
            };
            if let Some(member) = live(&id).filter(|_| chosen.iter().all(|c| c.id != id)) {
                chosen.push(member.latest.instance.clone());
            }
        }
        chosen
    }

    /// Returns an instance at the other end of the link to `zone`. Those with the fewest missed
    /// heartbeats are preferred, since they are the most likely to reply.
    fn select_remote(
        &mut self,
        peers: &PeerTable,
        zone: &ZoneId,
        own_zone: &ZoneId,
        links: usize,
    ) -> Option<Instance> {
        let min_misses = peers.live_in_zone(zone).map(|m| m.misses).min()?;
        let best = peers.live_in_zone(zone).filter(|m| m.misses == min_misses);
        let ends = LinkSelector::new(own_zone, links).select(best.map(|m| &m.latest.instance.id));
        let index = self.rng.below(ends.len());
        let member = peers.get(ends.get(index)?)?;
        Some(member.latest.instance.clone())
    }

    /// Returns a peer that is not live, of the own zone or a linked one, so that the two halves of
    /// a partitioned group find each other again.
    fn select_non_live(
        &mut self,
        peers: &PeerTable,
        me: &Instance,
        zones: &[ZoneId],
    ) -> Option<Instance> {
        let in_scope = |m: &&MemberState| {
            m.latest.instance.zone == me.zone || zones.contains(&m.latest.instance.zone)
        };
        if self.non_live.is_empty() {
            let members = peers.iter().filter(|m| !m.latest.liveness.is_live());
            self.non_live = ids(members.filter(in_scope));
            self.rng.shuffle(&mut self.non_live);
        }
        let member = peers.get(&self.non_live.pop()?)?;
        Some(member.latest.instance.clone())
    }
}

/// Returns the zones to which this instance maintains a link.
fn linked_zones(peers: &PeerTable, me: &Instance, links: usize) -> Vec<ZoneId> {
    let live: Vec<_> = ids(peers.live_in_zone(&me.zone));
    let keeps = |zone: &ZoneId| {
        let all = live.iter().chain([&me.id]);
        LinkSelector::new(zone, links).select(all).contains(&&me.id)
    };
    let zones = peers.zones().into_iter();
    zones.filter(|z| *z != me.zone && keeps(z)).collect()
}

fn ids<'a>(members: impl Iterator<Item = &'a MemberState>) -> Vec<InstanceId> {
    members.map(|m| m.latest.instance.id.clone()).collect()
}
