//! The rounds in which entries tell each other the use of limited client accounts.

use std::time::Duration;

use super::{Heartbeat, LinkSelector, Membership, PeerAction, PeerTable};
use crate::admit::ZoneDemand;
use crate::domain::{Instance, Timestamp, ZoneId};

/// The interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

impl Membership {
    /// Returns the time of the next round, if the use of any account is known.
    pub(super) fn next_relay(&self) -> Option<Timestamp> {
        let idle = self.demand.is_empty();
        (!idle).then_some(self.relayed + ROUND_INTERVAL)
    }

    /// Exchanges the use of client accounts with the relay of the zone or, if this instance is the relay,
    /// with the relays of the other zones. Then reports what is known to the router.
    pub(super) fn relay_demand(&mut self, now: Timestamp, out: &mut Vec<PeerAction>) {
        if self.next_relay().is_none_or(|due| now < due) {
            return;
        }
        self.relayed = now;
        self.demand.expire(now);
        for peer in relay_targets(&self.peers, &self.me) {
            let beat = self.compose_demand(now);
            out.push(PeerAction::Relay(peer, beat));
        }
        out.push(PeerAction::Demand(self.demand.zones(now)));
    }

    /// Returns the use of client accounts in all zones, or nothing where no account has a limit.
    pub(super) fn known_demand(&self, now: Timestamp) -> Vec<ZoneDemand> {
        match self.demand.is_empty() {
            true => Vec::new(),
            false => self.demand.zones(now),
        }
    }

    /// Composes a heartbeat that passes on no updates.
    fn compose_demand(&self, now: Timestamp) -> Heartbeat {
        Heartbeat {
            from: self.me.clone(),
            version: self.config_fetcher.version(),
            digest: self.peers.digest(&self.me),
            full: false,
            updates: Vec::new(),
            demand: self.demand.own().to_vec(),
            zones: self.known_demand(now),
        }
    }
}

/// Returns the peers to which `me` sends in a round.
fn relay_targets(peers: &PeerTable, me: &Instance) -> Vec<Instance> {
    match relay_of(peers, &me.zone, Some(me)) {
        Some(relay) if relay.id != me.id => vec![relay.clone()],
        _ => {
            let zones = peers.zones();
            let others = zones.iter().filter(|z| **z != me.zone);
            let relays = others.filter_map(|zone| relay_of(peers, zone, None));
            relays.cloned().collect()
        }
    }
}

/// Returns the instance that relays for `zone`: one that answers, the same for all that agree on who does.
fn relay_of<'a>(
    peers: &'a PeerTable,
    zone: &'a ZoneId,
    me: Option<&'a Instance>,
) -> Option<&'a Instance> {
    let live = peers.live_in_zone(zone).filter(|m| m.misses == 0);
    let instances: Vec<_> = live.map(|m| &m.latest.instance).chain(me).collect();
    let chosen = LinkSelector::new(zone, 1).select(instances.iter().map(|i| &i.id));
    let chosen = chosen.first().map(|id| (*id).clone())?;
    instances.into_iter().find(|i| i.id == chosen)
}
