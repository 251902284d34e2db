//! The way by which a watcher takes part in reading the platform once for its zone.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::{StoreEra, Timestamp};
use azureway_wire::object::ObjectList;

use super::{ReadTimes, ZoneCache, ZoneChanges, ZoneClient, ZoneRequest};
use crate::clock::Clock;
use crate::site::SiteKind;

/// The part of a watcher that asks the reader of its zone, or keeps what it reads for the zone.
#[derive(Debug)]
pub struct ZoneLink {
    client: ZoneClient,
    cache: Arc<ZoneCache>,
    /// The number of requests to readers that failed.
    failures: usize,
    /// The time before which the platform is read without asking a reader.
    retry_at: Timestamp,
    /// The number of requests to other entries that failed while the platform was lost.
    refusals: usize,
    /// Whether readers are asked also while the platform can be reached.
    relays: bool,
    /// Whether this entry reads the platform itself, by the last request to a reader.
    reads: bool,
    /// Whether the last news came from a reader.
    relayed: bool,
}

/// The time for which a request can take longer than the wait that was asked for, unless this process is
/// paused: the limit of [`ZoneClient::ask`], and as much for a busy machine.
const MAX_WAIT: Duration = ZoneClient::TIMEOUT.saturating_mul(3);
/// The number of other entries that are asked after a call to the platform that failed.
const MAX_OTHERS: usize = 2;
/// The time for which a watcher reads the platform itself after a reader failed.
const RETRY_DELAY: Duration = Duration::from_secs(2);

impl ZoneLink {
    /// The shortest limit on when a change must be in force with which news may come through a reader: a
    /// watch of the reader hangs, its answer is late, and then this entry reads the platform itself.
    pub const MIN_LIMIT: Duration = Duration::from_millis(3_100);

    /// Returns whether news may come through a reader where changes must be in force within `limit`.
    pub fn relays(limit: Duration) -> bool {
        limit >= Self::MIN_LIMIT
    }

    /// Creates a link that asks through `client` and keeps what is read in `cache`.
    pub const fn new(client: ZoneClient, cache: Arc<ZoneCache>) -> Self {
        Self {
            client,
            cache,
            failures: 0,
            retry_at: Timestamp::ZERO,
            refusals: 0,
            relays: true,
            reads: false,
            relayed: false,
        }
    }

    /// Sets whether readers are asked also while the platform can be reached.
    #[must_use]
    pub const fn with_relays(mut self, relays: bool) -> Self {
        self.relays = relays;
        self.reads = !relays;
        self
    }

    /// Keeps an answer of the platform for the zone, as [`ZoneCache::record`] does.
    pub fn record(
        &self,
        kind: SiteKind,
        era: Option<StoreEra>,
        after: Option<u64>,
        list: &ObjectList,
        times: ReadTimes,
    ) {
        self.cache.record(kind, era, after, list, times);
    }

    /// Asks the reader of the zone for the changes of `kind` after version `after`. Returns them with the time
    /// before they were asked for, or `None` if the platform is to be read instead.
    ///
    /// If calls to the platform fail since `lost`, the reader tells at once what it knows, and only what the
    /// platform has told it later counts. It may be this entry alone that the platform turns away.
    pub fn ask(
        &mut self,
        kind: SiteKind,
        era: Option<StoreEra>,
        after: u64,
        lost: Option<Timestamp>,
        clock: Clock,
    ) -> Option<(Timestamp, ZoneChanges)> {
        let mut asked = clock.now();
        if !self.relays || asked < self.retry_at {
            return None;
        }
        let request = ZoneRequest {
            kind,
            era,
            after,
            wait: lost.map_or(kind.relay_wait(), |_| Duration::ZERO),
            attempt: self.failures,
            lost: false,
        };
        let mut answer = self.client.ask(request);
        if matches!(answer, Some(Err(()))) && clock.now() > asked + request.wait + MAX_WAIT {
            // This process was paused, so the reader may be well. It dates changes better than a first
            // look at the platform.
            log::info!(step = "watch site", kind = kind.as_str(), waited:? = clock.now().since(asked); "a reader is asked again after a pause");
            asked = clock.now();
            answer = self.client.ask(request);
        }
        let is_known = |c: &ZoneChanges| Some(c.known_until(asked)) < lost;
        if matches!(&answer, Some(Ok(changes)) if is_known(changes)) {
            answer = Some(Err(()));
        }
        let relayed = matches!(answer, Some(Ok(_)));
        if relayed != self.relayed {
            self.relayed = relayed;
            let failed = matches!(answer, Some(Err(())));
            log::info!(step = "watch site", kind = kind.as_str(), relayed = relayed, failed = failed, after = after; "the source of news has changed");
        }
        self.reads = answer.is_none();
        let answer = answer?;
        if answer.is_err() {
            self.reject(asked + request.wait);
        }
        answer.ok().map(|changes| (asked, changes))
    }

    /// Asks another entry, of any zone, for the changes of `kind` after version `after`, since calls to
    /// the platform fail since `lost`. Returns them with the time before they were asked for, or `None`
    /// if the platform has told that entry nothing since, or if this entry has readers to ask.
    pub fn ask_other(
        &mut self,
        kind: SiteKind,
        era: Option<StoreEra>,
        after: u64,
        lost: Timestamp,
        clock: Clock,
    ) -> Option<(Timestamp, ZoneChanges)> {
        let tries = if self.reads { MAX_OTHERS } else { 0 };
        for _ in 0..tries {
            let asked = clock.now();
            let request = ZoneRequest {
                kind,
                era,
                after,
                wait: Duration::ZERO,
                attempt: self.refusals,
                lost: true,
            };
            let answer = self.client.ask(request)?.ok();
            let news = answer.filter(|changes| changes.known_until(asked) >= lost);
            if let Some(changes) = news {
                let age = changes.age;
                log::info!(step = "watch site", kind = kind.as_str(), after = after, age:? = age, whole = changes.whole; "another instance tells of the platform");
                return Some((asked, changes));
            }
            self.refusals += 1;
        }
        None
    }

    /// Records at `now` that the reader's news reach until `until`. If they are too old, the platform is read
    /// instead for a while.
    pub fn check_age(&mut self, kind: SiteKind, until: Timestamp, now: Timestamp) {
        let age = now.since(until);
        if age > kind.relay_limit() + ZoneClient::TIMEOUT {
            log::info!(step = "watch site", kind = kind.as_str(), age:? = age; "the reader's news are too old");
            self.reject(now);
        }
    }

    /// Records that the reader failed at `now`.
    fn reject(&mut self, now: Timestamp) {
        self.failures += 1;
        self.retry_at = now + RETRY_DELAY;
    }
}
