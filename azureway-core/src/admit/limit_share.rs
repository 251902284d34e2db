//! Divides the limits of client accounts between the entry instances.

use std::collections::HashMap;
use std::time::Duration;

use super::Demand;
use crate::domain::{AccountId, InstanceId, Timestamp};

/// Computes the fraction of each account's limit that this entry instance enforces.
///
/// `EQUAL_SHARE` of a limit is divided equally over all listed entry instances. The rest is
/// divided by demand among the group of instances that receive each other's reports. It is first
/// scaled by the fraction of all instances that are in the group, so that the groups on the two
/// sides of a network partition stay within the limit together. A silent instance keeps its part
/// of the limit until the platform no longer lists it, since it may still be serving.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    entries: u32,
    reports: HashMap<InstanceId, Report>,
}

/// The time at which an entry instance reported its demand, and the demand of each account.
type Report = (Timestamp, HashMap<AccountId, f64>);

/// The fraction of a limit that is divided equally over all entries.
const EQUAL_SHARE: f64 = 0.25;
/// The time after which a demand report is stale.
const REPORT_TTL: Duration = Duration::from_secs(5);

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

    /// Records the demand that another entry instance reported.
    pub fn record(&mut self, demand: &Demand, now: Timestamp) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        let rates = demand.rates.iter();
        let rates = rates.map(|(a, r)| (a.clone(), r.get() as f64)).collect();
        self.reports.insert(demand.instance.clone(), (now, rates));
    }

    /// Returns the fraction, from 0 to 1, of the limit of `account` that this entry enforces.
    /// `own` is the account's demand at this entry, in tokens per second.
    pub fn fraction(&self, account: &AccountId, own: f64, now: Timestamp) -> f64 {
        let fresh = |(at, _): &&Report| now.since(*at) < REPORT_TTL;
        let others = self.reports.values().filter(fresh);
        let (mut group, mut demand) = (1.0, own);
        for (_, rates) in others {
            group += 1.0;
            demand += rates.get(account).copied().unwrap_or(0.0);
        }
        // The list can lag behind, so more entries may report than are listed.
        let all = f64::from(self.entries).max(group);
        let by_demand = if demand > 0.0 {
            own / demand
        } else {
            1.0 / group
        };
        EQUAL_SHARE / all + (1.0 - EQUAL_SHARE) * (group / all) * by_demand
    }
}
