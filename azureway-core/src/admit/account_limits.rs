//! Refuses requests of client accounts that have used up their token limits.

use std::collections::HashMap;
use std::time::Duration;

use super::{Demand, DemandMeter, LimitShare, TokenBucket};
use crate::domain::{AccountId, ClientAccount, InstanceId, Timestamp, TokenCount, TokenRate};

/// Enforces the token limits of client accounts at this entry.
///
/// The limits hold over all entry instances together: each enforces its [`LimitShare`] of them.
#[derive(Clone, Debug, Default)]
pub struct AccountLimits {
    accounts: HashMap<AccountId, (DemandMeter, TokenBucket)>,
    share: LimitShare,
}

impl AccountLimits {
    /// Creates limits without accounts, for an entry instance that knows of no other.
    pub fn new() -> Self {
        Self {
            accounts: HashMap::new(),
            share: LimitShare::new(),
        }
    }

    /// Returns the share of the limits that this entry enforces, for updates.
    pub fn share_mut(&mut self) -> &mut LimitShare {
        &mut self.share
    }

    /// Removes the state of every account for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&AccountId) -> bool) {
        self.accounts.retain(|id, _| keep(id));
    }

    /// Charges `account` for a request that costs `cost` tokens.
    ///
    /// # Errors
    ///
    /// Returns the time after which the account may retry, if it has used up its limit.
    pub fn charge(
        &mut self,
        account: &ClientAccount,
        cost: TokenCount,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let (limit, share) = (account.limit.get() as f64, &self.share);
        let entry = self.accounts.entry(account.id.clone());
        let (meter, bucket) = entry.or_insert_with(|| {
            let rate = limit * share.fraction(&account.id, 0.0, now);
            (DemandMeter::new(), TokenBucket::new(rate, now))
        });
        meter.add(cost, now);
        let rate = limit * share.fraction(&account.id, meter.rate(now), now);
        bucket.spend(cost, rate, now)
    }

    /// Returns the demand of the accounts at this entry, for broadcast to the other entries.
    pub fn demand(&self, instance: InstanceId, now: Timestamp) -> Demand {
        let rates = self.accounts.iter().map(|(id, (meter, _))| {
            // A rate is never negative, and the cast saturates.
            (id.clone(), TokenRate::new(meter.rate(now) as u64))
        });
        let mut rates: Vec<_> = rates.filter(|(_, r)| *r > TokenRate::ZERO).collect();
        rates.sort_unstable();
        Demand { instance, rates }
    }
}
