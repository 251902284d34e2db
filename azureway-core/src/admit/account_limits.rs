//! Refuses requests of client accounts that have used up their limits.

use std::collections::HashMap;

use super::{AccountLevel, AccountUse, Charge, Demand, LimitRefusal, LimitShare, ZoneDemand};
use crate::domain::{
    AccountId, AccountLimit, ClientAccount, InstanceId, Request, RequestId, Timestamp, TokenRate,
};
use crate::util::Xorshift;

/// Enforces the limits of client accounts at this entry.
///
/// The limits hold over all entry instances together: each enforces its [`LimitShare`] of them. A
/// request is charged when it is admitted and for each further attempt that may run it twice. The
/// charge is given back if it did not run.
#[derive(Clone, Debug)]
pub struct AccountLimits {
    accounts: HashMap<AccountId, (AccountLimit, AccountLevel)>,
    /// The unsettled charges of requests.
    charges: HashMap<RequestId, Charge>,
    share: LimitShare,
    rng: Xorshift,
}

impl AccountLimits {
    /// Creates limits without accounts, for an entry instance that knows of no other. `seed` differs
    /// between entries.
    pub fn new(seed: u64) -> Self {
        Self {
            accounts: HashMap::new(),
            charges: HashMap::new(),
            share: LimitShare::new(),
            rng: Xorshift::new(seed),
        }
    }

    /// Returns the share of the limits that this entry enforces.
    pub const fn share(&self) -> &LimitShare {
        &self.share
    }

    /// Sets the number of listed entries, including silent ones and this one.
    pub fn set_entries(&mut self, entries: u32) {
        self.share.set_entries(entries);
    }

    /// Applies the limits of a configuration. The use of an account whose limit has changed counts on.
    pub fn reconfigure<'a>(
        &mut self,
        accounts: impl IntoIterator<Item = &'a ClientAccount>,
        now: Timestamp,
    ) {
        let mut known = std::mem::take(&mut self.accounts);
        for account in accounts {
            let Some(limit) = account.limit else { continue };
            let level = known.remove(&account.id).map(|(_, level)| level);
            let level = level.unwrap_or_else(|| AccountLevel::new(now));
            self.accounts.insert(account.id.clone(), (limit, level));
        }
    }

    /// Records the use of the accounts in availability zones, after bringing the estimates up to date
    /// with what was known before.
    pub fn record(&mut self, zones: &[ZoneDemand], now: Timestamp) {
        self.refill_all(now);
        self.share.record(zones, now);
    }

    /// Charges the account of `request`, if it has a limit.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the account has used up its limit.
    pub fn admit(&mut self, request: &Request, now: Timestamp) -> Result<(), LimitRefusal> {
        let (share, rng) = (&self.share, &mut self.rng);
        let Some((limit, level)) = self.accounts.get_mut(&request.account) else {
            return Ok(());
        };
        let cost = limit.cost(request) as f64;
        let entries = share.entries(now);
        let fraction = share.fraction(&request.account, now);
        let group = share.group_use(&request.account, now);
        level.refill(limit, fraction, group, entries, now);
        match level.spend(cost, rng.next_f64(), entries, now) {
            Ok(()) => {
                let charge = Charge::new(request.account.clone(), cost);
                self.charges.insert(request.id, charge);
                Ok(())
            }
            Err(wait) => Err(LimitRefusal {
                wait,
                fraction,
                part: level.part(),
                whole: level.whole(),
                age: group.map(|g| g.age),
            }),
        }
    }

    /// Charges a request again for an attempt that may run it once more.
    pub fn charge_again(&mut self, id: RequestId, now: Timestamp) {
        if let Some(charge) = self.charges.get(&id)
            && let Some((_, level)) = self.accounts.get_mut(&charge.account)
        {
            level.charge(charge.cost, now);
        }
    }

    /// Records that a request may have run, so that its charge is not given back.
    pub fn keep_charge(&mut self, id: RequestId) {
        if let Some(charge) = self.charges.get_mut(&id) {
            charge.kept = true;
        }
    }

    /// Ends the charge of a request, and gives it back if the request did not run.
    pub fn settle(&mut self, id: RequestId, not_run: bool, now: Timestamp) {
        let charge = self.charges.remove(&id);
        let Some(charge) = charge.filter(|c| not_run && !c.kept) else {
            return;
        };
        if let Some((_, level)) = self.accounts.get_mut(&charge.account) {
            level.charge(-charge.cost, now);
        }
    }

    /// Returns the use of the limited accounts at this entry, for the other entries.
    pub fn demand(&mut self, instance: InstanceId, now: Timestamp) -> Demand {
        self.refill_all(now);
        let accounts = self.accounts.iter().map(|(id, (_, level))| {
            // Rates are not negative, and the casts saturate.
            let scaled = |rate: f64| TokenRate::new((rate * AccountUse::SCALE) as u64);
            let (demand, used) = (level.demand.rate(now), level.used.rate(now));
            AccountUse::new(id.clone(), scaled(demand), scaled(used))
        });
        let mut accounts: Vec<_> = accounts.collect();
        accounts.sort_unstable_by(|a, b| a.account.cmp(&b.account));
        self.share.record_own(&accounts, now);
        Demand { instance, accounts }
    }

    /// Returns each limited account with its limit and its level here.
    pub fn levels(&self) -> impl Iterator<Item = (&AccountId, &AccountLimit, &AccountLevel)> {
        self.accounts
            .iter()
            .map(|(id, (limit, level))| (id, limit, level))
    }

    fn refill_all(&mut self, now: Timestamp) {
        let (share, entries) = (&self.share, self.share.entries(now));
        for (id, (limit, level)) in &mut self.accounts {
            let fraction = share.fraction(id, now);
            level.refill(limit, fraction, share.group_use(id, now), entries, now);
        }
    }
}
