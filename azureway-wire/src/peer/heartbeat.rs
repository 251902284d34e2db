//! Conversions of heartbeats.

use azureway_core::prelude as core;
use azureway_core::prelude::{AccountId, ConfigVersion, Error, TokenRate};

use super::invalid_field::invalid_field;
use super::{Demand, Heartbeat};

impl From<&core::Heartbeat> for Heartbeat {
    fn from(heartbeat: &core::Heartbeat) -> Self {
        let demand = heartbeat.demand.iter().map(|(account, rate)| Demand {
            account: account.as_str().to_owned(),
            rate: rate.get(),
        });
        Self {
            from: Some((&heartbeat.from).into()),
            version: heartbeat.version.get(),
            sum: heartbeat.digest,
            whole: heartbeat.full,
            news: heartbeat.updates.iter().map(Into::into).collect(),
            demand: demand.collect(),
        }
    }
}

impl TryFrom<&Heartbeat> for core::Heartbeat {
    type Error = Error;

    fn try_from(message: &Heartbeat) -> Result<Self, Error> {
        let from = message.from.as_ref().ok_or_else(|| invalid_field("from"))?;
        let updates: Result<_, _> = message.news.iter().map(TryInto::try_into).collect();
        let demand = message.demand.iter();
        let demand = demand.map(|d| (AccountId::new(&d.account), TokenRate::new(d.rate)));
        Ok(Self {
            from: from.try_into()?,
            version: ConfigVersion::new(message.version),
            digest: message.sum,
            full: message.whole,
            updates: updates?,
            demand: demand.collect(),
        })
    }
}
