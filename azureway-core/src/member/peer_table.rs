//! The peers and what is known of each.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Liveness, MemberState, MemberUpdate};
use crate::domain::{Instance, InstanceId, PrefixKey, ServerId, Timestamp, ZoneId};
use crate::route::Rendezvous;

/// The peers and what is known of each, this instance not among them.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    members: BTreeMap<InstanceId, MemberState>,
}

impl PeerTable {
    /// Creates an empty peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an instance that settings or the platform name. This never changes what is
    /// believed of a known one, since a list lags.
    pub fn add_listed(&mut self, instance: &Instance, now: Timestamp) {
        let news = MemberUpdate::new(instance.clone(), Liveness::Listed);
        let entry = self.members.entry(instance.id.clone());
        entry.or_insert_with(|| MemberState::new(news, now)).listed = true;
    }

    /// Takes in news. Returns whether it was new.
    pub fn merge(&mut self, news: &MemberUpdate, now: Timestamp) -> bool {
        let Some(member) = self.members.get_mut(&news.instance.id) else {
            // An unknown instance that is gone may just have been forgotten here.
            if news.liveness.is_gone() {
                return false;
            }
            let member = MemberState::new(news.clone(), now);
            self.members.insert(news.instance.id.clone(), member);
            return true;
        };
        if !news.replaces(&member.latest) {
            return false;
        }
        member.latest = news.clone();
        member.updated = now;
        true
    }

    /// Notes that a member answered.
    pub fn record_reply(&mut self, id: &InstanceId) {
        if let Some(member) = self.members.get_mut(id) {
            member.misses = 0;
        }
    }

    /// Notes that a member did not answer.
    pub fn record_miss(&mut self, id: &InstanceId) {
        if let Some(member) = self.members.get_mut(id) {
            member.misses = member.misses.saturating_add(1);
        }
    }

    /// Returns the suspected members of `zone` whose time to contradict is over.
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

    /// Gives every suspected member its whole time again.
    pub fn restart_suspicions(&mut self, now: Timestamp) {
        let suspects = self.members.values_mut();
        suspects
            .filter(|m| m.latest.liveness == Liveness::Suspect)
            .for_each(|m| m.updated = now);
    }

    /// Forgets members that have been gone for `time` and that nothing names.
    pub fn remove_expired(&mut self, time: Duration, now: Timestamp) {
        self.members
            .retain(|_, m| m.listed || !m.latest.liveness.is_gone() || now.since(m.updated) < time);
    }

    /// Returns a member.
    pub fn get(&self, id: &InstanceId) -> Option<&MemberState> {
        self.members.get(id)
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values()
    }

    /// Returns the live members of `zone`.
    pub fn live_in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a MemberState> {
        let live = |m: &&MemberState| m.latest.liveness.is_live();
        self.in_zone(zone).filter(live)
    }

    /// Returns the number of live members of `zone`.
    pub fn live_count(&self, zone: &ZoneId) -> u32 {
        u32::try_from(self.live_in_zone(zone).count()).unwrap_or(u32::MAX)
    }

    /// Returns the members of `zone`.
    pub fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a MemberState> {
        self.members
            .values()
            .filter(move |m| m.latest.instance.zone == *zone)
    }

    /// Returns the number of members that settings or the platform name or that are live.
    pub fn known_count(&self) -> u32 {
        let known = |m: &&MemberState| m.listed || m.latest.liveness.is_live();
        u32::try_from(self.iter().filter(known).count()).unwrap_or(u32::MAX)
    }

    /// Returns the zones of all members.
    pub fn zones(&self) -> Vec<ZoneId> {
        let mut zones: Vec<_> = self
            .iter()
            .map(|m| m.latest.instance.zone.clone())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns a digest of the live members and `me`, equal for equal beliefs.
    pub fn digest(&self, me: &Instance) -> u64 {
        let live = self.iter().filter(|m| m.latest.liveness.is_live());
        live.map(|m| instance_digest(&m.latest.instance))
            .fold(instance_digest(me), |sum, d| sum ^ d)
    }
}

/// Digests the name and incarnation of an instance.
fn instance_digest(instance: &Instance) -> u64 {
    let order = Rendezvous::new(PrefixKey::new(instance.incarnation.get().into()));
    order.weight(&ServerId::new(instance.id.as_str()))
}
