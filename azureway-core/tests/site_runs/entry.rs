//! One entry of the simulated site: a router and its view of the site.

use std::time::Duration;

use azureway_core::prelude::*;

use crate::store::{MODEL, Store};

/// An entry: its router and its view of the site, which it reads from the store.
pub struct Entry {
    pub router: Router<PrefixLoad>,
    pub site: SiteState,
    /// Whether this entry cannot reach the store.
    pub cut_off: bool,
    /// The time since when every read of the store has succeeded; `None` if the last read failed.
    pub connected: Option<Timestamp>,
    /// The time when the store became readable again; `None` if the last read failed.
    pub restored: Option<Timestamp>,
    /// When the answer to the read that is held up was asked for, and when it arrives.
    pub held_up: Option<(Timestamp, Timestamp)>,
    /// The earliest time at which changes that the next read reports can have happened.
    bound: ChangeBound,
    pub epoch: u64,
    pub sequence: u64,
}

/// The grace period in which older weights may serve requests after newer ones were named.
pub const GRACE: Duration = Duration::from_secs(6);
/// The retry budget, in percent of the requests.
pub const RETRY_PERCENT: u32 = 20;
/// The retries within a window that all entries together may make beyond [`RETRY_PERCENT`].
pub const RETRY_SLACK: RetrySlack = RetrySlack {
    count: 8,
    window: Duration::from_secs(10),
};

impl Entry {
    /// Creates one of `entries` entries, before its first read of the store.
    pub fn new(epoch: u64, entries: u32, now: Timestamp) -> Self {
        let config =
            RouterConfig::new(ZoneId::new("a")).with_retry_budget(RETRY_PERCENT, RETRY_SLACK);
        let mut router = Router::new(config.with_shared_servers(), PrefixLoad::new());
        router.handle(Event::ListedEntries(entries), now, &mut Vec::new());
        let zone = AvailabilityZone::new(ZoneId::new("a"), "r");
        Self {
            router,
            site: SiteState::new(vec![zone], GRACE),
            cut_off: false,
            connected: None,
            restored: None,
            held_up: None,
            // A process that has just started cannot know when the weights were named.
            bound: ChangeBound::new(Timestamp::ZERO),
            epoch,
            sequence: 0,
        }
    }

    /// Holds up the answer to a read of the store until a time, as when the process is frozen.
    pub fn hold_up(&mut self, now: Timestamp, until: Timestamp) {
        self.held_up.get_or_insert((now, until));
    }

    /// Reads the store, if it is reachable and no read is held up, and passes the resulting fleet to
    /// the router.
    pub fn read(&mut self, store: &Store, now: Timestamp, out: &mut Vec<Action>) {
        if self.held_up.is_some_and(|(_, until)| now < until) {
            return;
        }
        let started = self.held_up.take().map_or(now, |(started, _)| started);
        if store.unavailable || self.cut_off {
            self.connected = None;
            self.restored = None;
        } else {
            if self.connected.is_none() {
                self.connected = Some(now);
                self.restored = Some(now);
            }
            let call = AnsweredCall {
                started,
                wait: Duration::ZERO,
                answered: now,
            };
            let since = self.bound.record(&call, 1);
            self.site.configure(store.document.clone());
            let named = NamedWeights {
                model: ModelId::new(MODEL),
                version: store.named.0,
            };
            self.site.rollouts_mut().add(named, since);
            let servers = store.servers.values().cloned().collect();
            self.site.set_servers(servers, self.restored, now);
            let until = self.bound.reported_until();
            self.site.set_listed_until(until, self.restored);
        }
        self.site.remove_expired(now);
        if let Some(fleet) = self.site.build_fleet() {
            self.router.handle(Event::Configured(&fleet), now, out);
        }
    }

    /// Returns whether every read of the store within the last `time` has succeeded.
    pub fn connected_for(&self, now: Timestamp, time: Duration) -> bool {
        self.connected.is_some_and(|at| now.since(at) >= time)
    }
}
