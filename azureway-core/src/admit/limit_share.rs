//! Which part of each account's limit this entry may give out.

use std::collections::HashMap;
use std::time::Duration;

use super::Demand;
use crate::domain::{AccountId, InstanceId, Timestamp};

/// Which part of each account's limit this entry may give out.
///
/// Of a limit, `EQUAL` is divided equally over all entries, and the rest by demand among
/// the entries that hear one another. That rest is cut by the part of all entries that this
/// group makes up: two groups that do not hear each other cut it so that both together stay
/// within the limit, whichever way a partition runs. An entry that has fallen silent keeps
/// its part until the platform no longer lists it, since it may well be serving.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    entries: u32,
    heard: HashMap<InstanceId, Heard>,
}

/// What an entry said, and when.
type Heard = (Timestamp, HashMap<AccountId, f64>);

/// The part of a limit that is divided equally.
const EQUAL: f64 = 0.25;
/// How long what an entry said counts.
const DEMAND_LIFE: Duration = Duration::from_secs(5);

impl LimitShare {
    /// Creates the share of a single entry.
    pub fn new() -> Self {
        Self {
            entries: 1,
            ..Self::default()
        }
    }

    /// Sets the number of entries that are listed, silent ones included, with this one.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Notes what another entry said.
    pub fn record(&mut self, demand: &Demand, now: Timestamp) {
        self.heard.retain(|_, (at, _)| now.since(*at) < DEMAND_LIFE);
        let rates = demand.rates.iter();
        let rates = rates.map(|(a, r)| (a.clone(), r.get() as f64)).collect();
        self.heard.insert(demand.instance.clone(), (now, rates));
    }

    /// Returns the part of the limit of `account`, of which `own` tokens a second are asked
    /// for here.
    pub fn fraction(&self, account: &AccountId, own: f64, now: Timestamp) -> f64 {
        let live = |(at, _): &&Heard| now.since(*at) < DEMAND_LIFE;
        let others = self.heard.values().filter(live);
        let (mut group, mut demand) = (1.0, own);
        for (_, rates) in others {
            group += 1.0;
            demand += rates.get(account).copied().unwrap_or(0.0);
        }
        // More entries may be heard than are listed, since the list lags.
        let all = f64::from(self.entries).max(group);
        let by_demand = if demand > 0.0 {
            own / demand
        } else {
            1.0 / group
        };
        EQUAL / all + (1.0 - EQUAL) * (group / all) * by_demand
    }
}
