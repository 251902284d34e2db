//! Heartbeats as messages.

use azureway_core::prelude as core;
use azureway_core::prelude::{AccountId, ConfigVersion, Error, TokenRate};

use super::fault::fault;
use super::{Demand, Heartbeat};

impl From<&core::Heartbeat> for Heartbeat {
    fn from(beat: &core::Heartbeat) -> Self {
        let demand = beat.demand.iter().map(|(account, rate)| Demand {
            account: account.as_str().to_owned(),
            rate: rate.get(),
        });
        Self {
            from: Some((&beat.from).into()),
            version: beat.version.get(),
            sum: beat.digest,
            whole: beat.full,
            news: beat.updates.iter().map(Into::into).collect(),
            demand: demand.collect(),
        }
    }
}

impl TryFrom<&Heartbeat> for core::Heartbeat {
    type Error = Error;

    fn try_from(message: &Heartbeat) -> Result<Self, Error> {
        let from = message.from.as_ref().ok_or_else(|| fault("from"))?;
        let news: Result<_, _> = message.news.iter().map(TryInto::try_into).collect();
        let demand = message.demand.iter();
        let demand = demand.map(|d| (AccountId::new(&d.account), TokenRate::new(d.rate)));
        Ok(Self {
            from: from.try_into()?,
            version: ConfigVersion::new(message.version),
            digest: message.sum,
            full: message.whole,
            updates: news?,
            demand: demand.collect(),
        })
    }
}
