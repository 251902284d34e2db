//! Conversions of the use of client accounts.

use std::time::Duration;

use azureway_core::prelude as core;
use azureway_core::prelude::{AccountId, AccountUse, TokenRate, ZoneId};

use super::{Demand, ZoneDemand};

impl From<&AccountUse> for Demand {
    fn from(account: &AccountUse) -> Self {
        Self {
            account: account.account.as_str().to_owned(),
            rate: account.demand.get(),
            used: account.used.get(),
        }
    }
}

impl From<&Demand> for AccountUse {
    fn from(message: &Demand) -> Self {
        let account = AccountId::new(&message.account);
        let (demand, used) = (TokenRate::new(message.rate), TokenRate::new(message.used));
        Self::new(account, demand, used)
    }
}

impl From<&core::ZoneDemand> for ZoneDemand {
    fn from(zone: &core::ZoneDemand) -> Self {
        Self {
            zone: zone.zone.as_str().to_owned(),
            entries: zone.entries,
            age_ms: u32::try_from(zone.age.as_millis()).unwrap_or(u32::MAX),
            demand: zone.accounts.iter().map(Into::into).collect(),
        }
    }
}

impl From<&ZoneDemand> for core::ZoneDemand {
    fn from(message: &ZoneDemand) -> Self {
        Self {
            zone: ZoneId::new(&message.zone),
            entries: message.entries,
            age: Duration::from_millis(message.age_ms.into()),
            accounts: message.demand.iter().map(Into::into).collect(),
        }
    }
}
