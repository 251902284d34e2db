//! The known peers with their liveness, from which heartbeat targets are selected.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Liveness, MemberState, MemberUpdate};
use crate::domain::{Instance, InstanceId, PrefixKey, ServerId, Timestamp, ZoneId};
use crate::route::Rendezvous;

/// The state of every known peer, without this instance.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    members: BTreeMap<InstanceId, MemberState>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an instance that the settings or the platform list. The liveness of a known instance
    /// never changes, since the list lags behind.
    pub fn add_listed(&mut self, instance: &Instance, now: Timestamp) {
        let update = MemberUpdate::new(instance.clone(), Liveness::Listed);
        let entry = self.members.entry(instance.id.clone());
        entry
            .or_insert_with(|| MemberState::new(update, now))
            .listed = true;
    }

    /// Merges an update. Returns whether it was new.
    pub fn merge(&mut self, update: &MemberUpdate, now: Timestamp) -> bool {
        let Some(member) = self.members.get_mut(&update.instance.id) else {
            // This instance may have removed a peer that is gone; a late update must not add it
            // again.
            if update.liveness.is_gone() {
                return false;
            }
            let member = MemberState::new(update.clone(), now);
            self.members.insert(update.instance.id.clone(), member);
            return true;
        };
        if !update.replaces(&member.latest) {
            return false;
        }
        member.latest = update.clone();
        member.updated = now;
        true
    }

    /// Records that a peer replied.
    pub fn record_reply(&mut self, id: &InstanceId) {
        if let Some(member) = self.members.get_mut(id) {
            member.misses = 0;
        }
    }

    /// Records that a peer did not reply.
    pub fn record_miss(&mut self, id: &InstanceId) {
        if let Some(member) = self.members.get_mut(id) {
            member.misses = member.misses.saturating_add(1);
        }
    }

    /// Returns an update that declares dead each suspect of `zone` that did not refute the
    /// suspicion within `time`.
    pub fn expired_suspicions(
        &self,
        zone: &ZoneId,
        time: Duration,
        now: Timestamp,
    ) -> Vec<MemberUpdate> {
        let late = |m: &&MemberState| {
            m.latest.liveness == Liveness::Suspect
                && m.latest.instance.zone == *zone
                && now.since(m.updated) >= time
        };
        let dead = |m: &MemberState| MemberUpdate::new(m.latest.instance.clone(), Liveness::Dead);
        self.members.values().filter(late).map(dead).collect()
    }

    /// Restarts the suspicion timeout of every suspect.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        let suspects = self.members.values_mut();
        suspects
            .filter(|m| m.latest.liveness == Liveness::Suspect)
            .for_each(|m| m.updated = now);
    }

    /// Removes peers that have been gone for `time` and are not listed.
    pub fn remove_expired(&mut self, time: Duration, now: Timestamp) {
        self.members
            .retain(|_, m| m.listed || !m.latest.liveness.is_gone() || now.since(m.updated) < time);
    }

    /// Returns the state of a peer.
    pub fn get(&self, id: &InstanceId) -> Option<&MemberState> {
        self.members.get(id)
    }

    /// Returns the state of all peers.
    pub fn iter(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values()
    }

    /// Returns the live peers of `zone`.
    pub fn live_in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a MemberState> {
        let live = |m: &&MemberState| m.latest.liveness.is_live();
        self.in_zone(zone).filter(live)
    }

    /// Returns the number of live peers of `zone`.
    pub fn live_count(&self, zone: &ZoneId) -> u32 {
        u32::try_from(self.live_in_zone(zone).count()).unwrap_or(u32::MAX)
    }

    /// Returns the peers of `zone`.
    pub fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a MemberState> {
        self.members
            .values()
            .filter(move |m| m.latest.instance.zone == *zone)
    }

    /// Returns the number of peers that are listed or live.
    pub fn known_count(&self) -> u32 {
        let known = |m: &&MemberState| m.listed || m.latest.liveness.is_live();
        u32::try_from(self.iter().filter(known).count()).unwrap_or(u32::MAX)
    }

    /// Returns the zones of all peers, sorted.
    pub fn zones(&self) -> Vec<ZoneId> {
        let mut zones: Vec<_> = self
            .iter()
            .map(|m| m.latest.instance.zone.clone())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns a digest of the live peers and `me`, equal for equal sets of live instances.
    pub fn digest(&self, me: &Instance) -> u64 {
        let live = self.iter().filter(|m| m.latest.liveness.is_live());
        live.map(|m| instance_digest(&m.latest.instance))
            .fold(instance_digest(me), |sum, d| sum ^ d)
    }
}

/// Returns the digest of an instance's name and incarnation.
fn instance_digest(instance: &Instance) -> u64 {
    let order = Rendezvous::new(PrefixKey::new(instance.incarnation.get().into()));
    order.weight(&ServerId::new(instance.id.as_str()))
}
