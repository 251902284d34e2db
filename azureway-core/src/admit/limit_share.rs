//! Divides the limits of client accounts between the entry instances.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::zone_report::ZoneReport;
use super::{AccountUse, GroupUse, ZoneDemand};
use crate::domain::{AccountId, Timestamp, TokenRate, ZoneId};

/// Computes the fraction of each account's limit that this entry instance enforces.
///
/// `EQUAL_SHARE` of a limit is divided equally over all listed entry instances. The rest is
/// divided by demand among the group of instances whose reports reach each other. It is first
/// scaled by the fraction of all instances that are in the group, so that the groups on the two
/// sides of a network partition stay within the limit together. A silent instance keeps its part
/// of the limit until the platform no longer lists it, since it may still be serving.
///
/// The demand at this entry counts as it was when the other entries' demand was measured. A sudden
/// rise at all entries would otherwise raise each entry's own part before it hears of the others.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    entries: u32,
    zones: BTreeMap<ZoneId, ZoneReport>,
    /// What this entry has reported, oldest first.
    history: VecDeque<(Timestamp, HashMap<AccountId, f64>)>,
}

/// The fraction of a limit that is divided equally over all entries.
const EQUAL_SHARE: f64 = 0.1;
/// The time after which the figures of a zone are stale.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// The time for which this entry remembers its own reports.
const HISTORY_TIME: Duration = Duration::from_secs(4);

impl LimitShare {
    /// Creates the share of an entry instance that knows of no other.
    pub fn new() -> Self {
        Self {
            entries: 1,
            ..Self::default()
        }
    }

    /// Sets the number of listed entries, including silent ones and this one.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Returns the number of entries that share the limits.
    pub fn entries(&self, now: Timestamp) -> f64 {
        // The list can lag behind, so more entries may report than are listed.
        let reporting: f64 = self.fresh(now).map(|z| f64::from(z.entries)).sum();
        f64::from(self.entries).max(reporting)
    }

    /// Records the use in availability zones, this entry's own one included.
    pub fn record(&mut self, zones: &[ZoneDemand], now: Timestamp) {
        for zone in zones {
            let measured = Timestamp::ZERO + now.since(Timestamp::ZERO).saturating_sub(zone.age);
            let figures = |a: &AccountUse| (per_second(a.demand), per_second(a.used));
            let accounts = zone.accounts.iter();
            let report = ZoneReport {
                measured,
                entries: zone.entries,
                accounts: accounts.map(|a| (a.account.clone(), figures(a))).collect(),
            };
            self.zones.insert(zone.zone.clone(), report);
        }
    }

    /// Records what this entry reports to the others.
    pub fn record_own(&mut self, accounts: &[AccountUse], now: Timestamp) {
        let rates = accounts.iter();
        let rates = rates.map(|a| (a.account.clone(), per_second(a.demand)));
        self.history.push_back((now, rates.collect()));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| now.since(*at) > HISTORY_TIME)
        {
            self.history.pop_front();
        }
    }

    /// Returns the use of `account` over all entries that are heard of, or nothing if no report is
    /// fresh.
    pub fn group_use(&self, account: &AccountId, now: Timestamp) -> Option<GroupUse> {
        let (mut entries, mut demand, mut used, mut age) = (0.0, 0.0, 0.0, Duration::ZERO);
        for zone in self.fresh(now) {
            let (asked, charged) = zone.accounts.get(account).copied().unwrap_or_default();
            entries += f64::from(zone.entries);
            demand += asked;
            used += charged;
            age += now.since(zone.measured) * zone.entries;
        }
        if entries < 1.0 {
            return None;
        }
        let age = age.div_f64(entries);
        let own = self.own_at(account, age, now).min(demand);
        Some(GroupUse {
            entries,
            demand,
            used,
            own,
            age,
        })
    }

    /// Returns the fraction, from 0 to 1, of the limit of `account` that this entry enforces.
    pub fn fraction(&self, account: &AccountId, now: Timestamp) -> f64 {
        let all = self.entries(now);
        let Some(group) = self.group_use(account, now) else {
            return 1.0 / all;
        };
        let by_demand = match group.demand > 0.0 {
            true => group.own / group.demand,
            false => 1.0 / group.entries,
        };
        EQUAL_SHARE / all + (1.0 - EQUAL_SHARE) * (group.entries / all) * by_demand
    }

    /// Returns the demand that this entry reported `age` ago.
    fn own_at(&self, account: &AccountId, age: Duration, now: Timestamp) -> f64 {
        let report = self.history.iter().rev();
        let report = report.into_iter().find(|(at, _)| now.since(*at) >= age);
        let report = report.or_else(|| self.history.front());
        let rate = report.and_then(|(_, rates)| rates.get(account));
        rate.copied().unwrap_or_default()
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &ZoneReport> {
        let fresh = move |z: &&ZoneReport| now.since(z.measured) < REPORT_TTL;
        self.zones.values().filter(fresh)
    }
}

/// Returns a reported rate in units per second.
fn per_second(rate: TokenRate) -> f64 {
    rate.get() as f64 / AccountUse::SCALE
}
