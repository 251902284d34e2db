//! What an entry has heard of the use of client accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Heartbeat, TopDemand};
use crate::admit::{AccountUse, Demand, ZoneDemand};
use crate::domain::{AccountId, Instance, InstanceId, Timestamp, TokenRate, ZoneId};

/// The use of client accounts at this entry, at the peers of its zone and in all zones.
#[derive(Clone, Debug)]
pub struct DemandTable {
    zone: ZoneId,
    own: TopDemand,
    measured: Timestamp,
    peers: BTreeMap<InstanceId, (Timestamp, Vec<AccountUse>)>,
    zones: BTreeMap<ZoneId, (Timestamp, ZoneDemand)>,
}

/// The age at which a report is dropped.
const REPORT_TTL: Duration = Duration::from_secs(3);

impl DemandTable {
    /// Creates the table of an entry in `zone`.
    pub const fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            own: TopDemand::new(),
            measured: Timestamp::ZERO,
            peers: BTreeMap::new(),
            zones: BTreeMap::new(),
        }
    }

    /// Returns whether nothing is known, as where no account has a limit.
    pub fn is_empty(&self) -> bool {
        self.own.accounts().is_empty() && self.peers.is_empty() && self.zones.is_empty()
    }

    /// Returns the use at this entry.
    pub fn own(&self) -> &[AccountUse] {
        self.own.accounts()
    }

    /// Records the use at this entry, of the `count` accounts with the highest demand.
    pub fn update(&mut self, demand: &Demand, count: usize, now: Timestamp) {
        self.own.update(demand, count);
        self.measured = now;
    }

    /// Records what a heartbeat tells.
    pub fn record(&mut self, beat: &Heartbeat, now: Timestamp) {
        if beat.from.zone == self.zone && !beat.demand.is_empty() {
            self.record_peer(&beat.from, &beat.demand, now);
        }
        for zone in &beat.zones {
            let measured = now.before(zone.age);
            let known = self.zones.get(&zone.zone);
            let better = known.is_none_or(|(at, known)| {
                now.since(*at) >= REPORT_TTL
                    || (zone.entries, measured) > (known.entries, *at)
                    || measured > *at + REPORT_TTL / 2
            });
            if better {
                self.zones
                    .insert(zone.zone.clone(), (measured, zone.clone()));
            }
        }
    }

    /// Drops what is stale.
    pub fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        self.zones.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
    }

    /// Returns the use in each zone as of `now`. The own zone's is the sum of its entries' reports, or
    /// what another entry has summed up if that covers more of them.
    pub fn zones(&self, now: Timestamp) -> Vec<ZoneDemand> {
        let summed = self.sum_own_zone(now);
        let heard = self.zones.values().map(|(measured, zone)| ZoneDemand {
            age: now.since(*measured),
            ..zone.clone()
        });
        let fresh = heard.filter(|z| z.age < REPORT_TTL);
        let (own, mut others): (Vec<_>, Vec<_>) = fresh.partition(|z| z.zone == self.zone);
        let own = own.into_iter().filter(|z| z.entries > summed.entries);
        others.push(own.last().unwrap_or(summed));
        others
    }

    fn record_peer(&mut self, peer: &Instance, accounts: &[AccountUse], now: Timestamp) {
        self.peers.insert(peer.id.clone(), (now, accounts.to_vec()));
    }

    fn sum_own_zone(&self, now: Timestamp) -> ZoneDemand {
        let peers = self.peers.values();
        let fresh = peers.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        let reports = fresh.map(|(at, accounts)| (*at, accounts.as_slice()));
        let own = [(self.measured, self.own.accounts())];
        let (mut sums, mut ages, mut entries) = (BTreeMap::new(), Duration::ZERO, 0);
        for (at, accounts) in reports.chain(own) {
            entries += 1;
            ages += now.since(at).min(REPORT_TTL);
            for account in accounts {
                let sum: &mut (u64, u64) = sums.entry(account.account.clone()).or_default();
                sum.0 = sum.0.saturating_add(account.demand.get());
                sum.1 = sum.1.saturating_add(account.used.get());
            }
        }
        let to_use = |(account, (demand, used)): (AccountId, (u64, u64))| {
            AccountUse::new(account, TokenRate::new(demand), TokenRate::new(used))
        };
        ZoneDemand {
            zone: self.zone.clone(),
            entries,
            age: ages / entries,
            accounts: sums.into_iter().map(to_use).collect(),
        }
    }
}
