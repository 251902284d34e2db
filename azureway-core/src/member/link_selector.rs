//! Selection of the instances that exchange heartbeats between two zones.

use crate::domain::{InstanceId, PrefixKey, ServerId, ZoneId};
use crate::route::Rendezvous;

/// Selects the instances of one zone that maintain the link to another zone.
///
/// The selection uses rendezvous hashing, so that all instances of the zone agree on it without
/// communicating.
#[derive(Clone, Debug)]
pub struct LinkSelector {
    rendezvous: Rendezvous,
    count: usize,
}

impl LinkSelector {
    /// Creates a selector of `count` instances for the link to `zone`.
    pub fn new(zone: &ZoneId, count: usize) -> Self {
        let base = Rendezvous::new(PrefixKey::new(0));
        let key = base.weight(&ServerId::new(zone.as_str()));
        Self {
            rendezvous: Rendezvous::new(PrefixKey::new(key.into())),
            count,
        }
    }

    /// Returns those of `instances` that maintain the link, highest rendezvous weight first.
    pub fn select<'a>(
        &self,
        instances: impl Iterator<Item = &'a InstanceId>,
    ) -> Vec<&'a InstanceId> {
        let weigh = |id: &'a InstanceId| (self.rendezvous.weight(&ServerId::new(id.as_str())), id);
        let mut all: Vec<_> = instances.map(weigh).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(self.count).map(|(_, id)| id).collect()
    }
}
