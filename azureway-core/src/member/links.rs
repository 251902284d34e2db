//! Which instances keep the link between two zones.

use crate::domain::{InstanceId, PrefixKey, ServerId, ZoneId};
use crate::route::Rendezvous;

/// Which instances of one zone keep the link to another: those that rendezvous prefers, so
/// that all instances of the zone name the same ones without asking each other.
#[derive(Clone, Debug)]
pub struct Links {
    order: Rendezvous,
    count: usize,
}

impl Links {
    /// Creates the choice of `count` instances for the link to `zone`.
    pub fn new(zone: &ZoneId, count: usize) -> Self {
        let base = Rendezvous::new(PrefixKey::new(0));
        let key = base.weight(&ServerId::new(zone.as_str()));
        Self {
            order: Rendezvous::new(PrefixKey::new(key.into())),
            count,
        }
    }

    /// Returns those of `instances` that keep the link, the most preferred first.
    pub fn choose<'a>(
        &self,
        instances: impl Iterator<Item = &'a InstanceId>,
    ) -> Vec<&'a InstanceId> {
        let weigh = |id: &'a InstanceId| (self.order.weight(&ServerId::new(id.as_str())), id);
        let mut all: Vec<_> = instances.map(weigh).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(self.count).map(|(_, id)| id).collect()
    }
}
