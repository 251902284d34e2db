//! The limits of client accounts at this entry.

use std::collections::HashMap;
use std::time::Duration;

use super::{Demand, DemandMeter, LimitShare, TokenBucket};
use crate::domain::{AccountId, ClientAccount, InstanceId, Timestamp, TokenCount, TokenRate};

/// The limits of client accounts at this entry, which hold over all entries.
#[derive(Clone, Debug, Default)]
pub struct AccountLimits {
    accounts: HashMap<AccountId, (DemandMeter, TokenBucket)>,
    share: LimitShare,
}

impl AccountLimits {
    /// Creates limits for a single entry.
    pub fn new() -> Self {
        Self {
            accounts: HashMap::new(),
            share: LimitShare::new(),
        }
    }

    /// Returns how limits are shared with the other entries.
    pub fn share_mut(&mut self) -> &mut LimitShare {
        &mut self.share
    }

    /// Drops the accounts that `keep` does not keep.
    pub fn retain(&mut self, keep: impl Fn(&AccountId) -> bool) {
        self.accounts.retain(|id, _| keep(id));
    }

    /// Charges `account` for a request of `cost` tokens.
    ///
    /// # Errors
    ///
    /// Returns the time after which it is worth asking again, if the limit is used up.
    pub fn charge(
        &mut self,
        account: &ClientAccount,
        cost: TokenCount,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let (limit, share) = (account.limit.get() as f64, &self.share);
        let entry = self.accounts.entry(account.id.clone());
        let (meter, allowance) = entry.or_insert_with(|| {
            let rate = limit * share.fraction(&account.id, 0.0, now);
            (DemandMeter::new(), TokenBucket::new(rate, now))
        });
        meter.add(cost, now);
        let rate = limit * share.fraction(&account.id, meter.rate(now), now);
        allowance.spend(cost, rate, now)
    }

    /// Returns what the accounts ask for here, to be told to the other entries.
    pub fn demand(&self, instance: InstanceId, now: Timestamp) -> Demand {
        let rates = self.accounts.iter().map(|(id, (meter, _))| {
            // The cast saturates, and nothing is negative.
            (id.clone(), TokenRate::new(meter.rate(now) as u64))
        });
        let mut rates: Vec<_> = rates.filter(|(_, r)| *r > TokenRate::ZERO).collect();
        rates.sort_unstable();
        Demand { instance, rates }
    }
}
