//! An entry: its router, and what it has heard of the site.

use std::time::Duration;

use azureway_core::prelude::*;

use crate::store::{MODEL, Store};

/// An entry of the site.
pub struct Entry {
    pub router: Router<PrefixLoad>,
    pub site: SiteState,
    /// Whether the store is away for this entry alone.
    pub away: bool,
    /// Since when it has read the store whenever it wanted.
    pub touch: Option<Timestamp>,
    /// When the store came back after it was away.
    pub back: Option<Timestamp>,
    pub epoch: u64,
    pub sequence: u64,
}

/// How long older weights may answer after newer ones were named.
pub const GRACE: Duration = Duration::from_secs(6);
/// The share of retries, in percent.
pub const SHARE: u32 = 20;
/// The retries beyond the share that all entries may make within a window.
pub const SLACK: RetrySlack = RetrySlack {
    count: 8,
    window: Duration::from_secs(10),
};

impl Entry {
    /// Creates an entry that has heard of nothing, as one of `entries`.
    pub fn new(epoch: u64, entries: u32, now: Timestamp) -> Self {
        let config = RouterConfig::new(ZoneId::new("a")).with_retry_budget(SHARE, SLACK);
        let mut router = Router::new(config.with_shared_servers(), PrefixLoad::new());
        router.handle(Event::ListedEntries(entries), now, &mut Vec::new());
        let zone = AvailabilityZone::new(ZoneId::new("a"), "r");
        Self {
            router,
            site: SiteState::new(vec![zone], GRACE),
            away: false,
            touch: None,
            back: None,
            epoch,
            sequence: 0,
        }
    }

    /// Reads the store, if it answers, and takes over what is new.
    pub fn read(&mut self, store: &Store, now: Timestamp, out: &mut Vec<Action>) {
        if store.away || self.away {
            self.touch = None;
            self.back = None;
        } else {
            if self.touch.is_none() {
                self.touch = Some(now);
                self.back = Some(now);
            }
            // A process that starts cannot know for how long weights have been named.
            let first = self.site.version().is_none();
            let since = if first { Timestamp::ZERO } else { now };
            self.site.configure(store.document.clone());
            let named = NamedWeights {
                model: ModelId::new(MODEL),
                version: store.named.0,
            };
            self.site.add_named(named, since);
            let entries = store.entries.values().cloned().collect();
            self.site.set_servers(entries, self.back, now);
        }
        self.site.remove_expired(now);
        if let Some(fleet) = self.site.build_fleet() {
            self.router.handle(Event::Configured(&fleet), now, out);
        }
    }

    /// Tells whether it has read the store whenever it wanted for a time.
    pub fn in_touch(&self, now: Timestamp, time: Duration) -> bool {
        self.touch.is_some_and(|at| now.since(at) >= time)
    }
}
