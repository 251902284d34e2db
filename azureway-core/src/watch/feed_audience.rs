//! Selection of the entries that read the feed of a backend server.

use super::EntrySelector;
use crate::domain::{BackendServer, InstanceId, PrefixKey, ZoneId};
use crate::route::Rendezvous;

/// Selects the entries that read the feed of each backend server, from the live entries of all zones.
///
/// A server holds a bounded number of polls at once, and rejects the others. With few entries each one
/// reads every feed. With more, a few of the server's own zone read it, and the others go by what they
/// have sent there. Entries that know of other live entries select others for a while, so only a part of
/// the places for polls is given out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedAudience {
    me: InstanceId,
    zone: ZoneId,
    /// The other live entries, each with its zone.
    others: Vec<(InstanceId, ZoneId)>,
}

/// The divisor that gives the number of readers of a feed from the number of polls that its server
/// holds.
const SHARE: usize = 2;

impl FeedAudience {
    /// Creates the audience as the entry `me` in `zone` knows it. `others` are the other live entries.
    pub const fn new(me: InstanceId, zone: ZoneId, others: Vec<(InstanceId, ZoneId)>) -> Self {
        Self { me, zone, others }
    }

    /// Returns whether this entry reads the feed of `server`, which holds `limit` polls at once.
    pub fn includes(&self, server: &BackendServer, limit: u32) -> bool {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        if self.others.len() < limit {
            return true;
        }
        let near = |zone: &ZoneId| *zone == server.zone;
        // The feeds of a zone without live entries are read by entries of all zones.
        let deserted = !near(&self.zone) && !self.others.iter().any(|(_, zone)| near(zone));
        if !deserted && !near(&self.zone) {
            return false;
        }
        let others = self
            .others
            .iter()
            .filter(|(_, zone)| deserted || near(zone));
        let candidates: Vec<_> = others.map(|(id, _)| id.clone()).collect();
        let seed = Rendezvous::new(PrefixKey::new(0)).weight(&server.id);
        let selector = EntrySelector::new((limit / SHARE).max(1), u128::from(seed));
        selector.includes(&self.me, &candidates)
    }
}
