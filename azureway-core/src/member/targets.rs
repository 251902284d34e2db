//! Whom a round of heartbeats goes to.

use super::{Links, MemberState, MembershipConfig, PeerTable};
use crate::domain::{Instance, InstanceId, ZoneId};
use crate::util::Xorshift;

/// Whom a round of heartbeats goes to: some peers of the zone, in turns that reach each of
/// them, the other end of each link that this instance keeps, and one that was lost.
#[derive(Clone, Debug)]
pub struct Targets {
    turn: Vec<InstanceId>,
    lost: Vec<InstanceId>,
    draws: Xorshift,
    round: u64,
}

/// The rounds from one heartbeat over a link, or to a lost member, to the next.
const SLOW_ROUNDS: u64 = 2;

impl Targets {
    /// Creates the choice. `seed` spreads the instances of a zone.
    pub const fn new(seed: u64) -> Self {
        Self {
            turn: Vec::new(),
            lost: Vec::new(),
            draws: Xorshift::new(seed),
            round: 0,
        }
    }

    /// Chooses the targets of the next round.
    pub fn choose(
        &mut self,
        peers: &PeerTable,
        me: &Instance,
        config: &MembershipConfig,
    ) -> Vec<Instance> {
        self.round += 1;
        let mut chosen = self.near(peers, &me.zone, config.fanout);
        if self.round % SLOW_ROUNDS == 1 {
            let zones = linked(peers, me, config.zone_links);
            for zone in &zones {
                chosen.extend(self.far(peers, zone, &me.zone, config.zone_links));
            }
            chosen.extend(self.lost(peers, me, &zones));
        }
        chosen
    }

    /// Chooses peers of the zone. Suspected ones too, so that they can contradict.
    fn near(&mut self, peers: &PeerTable, zone: &ZoneId, fanout: usize) -> Vec<Instance> {
        let live = |id: &InstanceId| peers.get(id).filter(|m| m.latest.liveness.is_live());
        let mut chosen: Vec<Instance> = Vec::new();
        let mut refilled = false;
        while chosen.len() < fanout {
            let Some(id) = self.turn.pop() else {
                if refilled {
                    break;
                }
                refilled = true;
                self.turn = ids(peers.live_in_zone(zone));
                self.draws.shuffle(&mut self.turn);
                continue;
            };
            if let Some(member) = live(&id).filter(|_| chosen.iter().all(|c| c.id != id)) {
                chosen.push(member.latest.instance.clone());
            }
        }
        chosen
    }

    /// Chooses the other end of the link to `zone`, one that answers if there is one.
    fn far(
        &mut self,
        peers: &PeerTable,
        zone: &ZoneId,
        home: &ZoneId,
        links: usize,
    ) -> Option<Instance> {
        let fewest = peers.live_in_zone(zone).map(|m| m.misses).min()?;
        let best = peers.live_in_zone(zone).filter(|m| m.misses == fewest);
        let ends = Links::new(home, links).choose(best.map(|m| &m.latest.instance.id));
        let place = self.draws.below(ends.len());
        let member = peers.get(ends.get(place)?)?;
        Some(member.latest.instance.clone())
    }

    /// Chooses a member that is not believed to be live, so that a group which was cut in two
    /// finds together again.
    fn lost(&mut self, peers: &PeerTable, me: &Instance, zones: &[ZoneId]) -> Option<Instance> {
        let near = |m: &&MemberState| {
            m.latest.instance.zone == me.zone || zones.contains(&m.latest.instance.zone)
        };
        if self.lost.is_empty() {
            let lost = peers.iter().filter(|m| !m.latest.liveness.is_live());
            self.lost = ids(lost.filter(near));
            self.draws.shuffle(&mut self.lost);
        }
        let member = peers.get(&self.lost.pop()?)?;
        Some(member.latest.instance.clone())
    }
}

/// Returns the zones to which this instance keeps a link.
fn linked(peers: &PeerTable, me: &Instance, links: usize) -> Vec<ZoneId> {
    let live: Vec<_> = ids(peers.live_in_zone(&me.zone));
    let keeps = |zone: &ZoneId| {
        let all = live.iter().chain([&me.id]);
        Links::new(zone, links).choose(all).contains(&&me.id)
    };
    let zones = peers.zones().into_iter();
    zones.filter(|z| *z != me.zone && keeps(z)).collect()
}

fn ids<'a>(members: impl Iterator<Item = &'a MemberState>) -> Vec<InstanceId> {
    members.map(|m| m.latest.instance.id.clone()).collect()
}
