//! Conversions of heartbeats.

use azureway_core::prelude as core;
use azureway_core::prelude::{ConfigVersion, Error};

use super::Heartbeat;
use super::invalid_field::invalid_field;

impl From<&core::Heartbeat> for Heartbeat {
    fn from(heartbeat: &core::Heartbeat) -> Self {
        Self {
            from: Some((&heartbeat.from).into()),
            version: heartbeat.version.get(),
            sum: heartbeat.digest,
            whole: heartbeat.full,
            news: heartbeat.updates.iter().map(Into::into).collect(),
            demand: heartbeat.demand.iter().map(Into::into).collect(),
            zones: heartbeat.zones.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<&Heartbeat> for core::Heartbeat {
    type Error = Error;

    fn try_from(message: &Heartbeat) -> Result<Self, Error> {
        let from = message.from.as_ref().ok_or_else(|| invalid_field("from"))?;
        let updates: Result<_, _> = message.news.iter().map(TryInto::try_into).collect();
        Ok(Self {
            from: from.try_into()?,
            version: ConfigVersion::new(message.version),
            digest: message.sum,
            full: message.whole,
            updates: updates?,
            demand: message.demand.iter().map(Into::into).collect(),
            zones: message.zones.iter().map(Into::into).collect(),
        })
    }
}
