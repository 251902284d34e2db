//! Selection of the peers from which the membership fetches a newer configuration.

use std::time::Duration;

use super::PeerTable;
use crate::domain::{ConfigVersion, Instance, InstanceId, Timestamp, ZoneId};
use crate::retry::Backoff;
use crate::util::Xorshift;

/// Selects the peers from which a newer configuration is fetched, one request at a time.
///
/// While the instance has no configuration, all peers are candidates, those of its own zone
/// first. Afterwards only peers that advertised a newer version are.
#[derive(Clone, Debug)]
pub struct ConfigFetcher {
    version: ConfigVersion,
    sources: Vec<InstanceId>,
    offered_version: ConfigVersion,
    queue: Vec<InstanceId>,
    rng: Xorshift,
    backoff: Backoff,
    next_request: Timestamp,
}

/// The initial delay between requests to successive peers.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// The longest delay between requests to successive peers: half of the time within which a
/// change has to take effect.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// The interval over which instances that start together spread their first request.
const START_SPREAD: Duration = Duration::from_millis(100);

impl ConfigFetcher {
    /// Creates a fetcher for an instance that starts at `now` without a configuration.
    pub fn new(seed: u64, now: Timestamp) -> Self {
        let mut rng = Xorshift::new(seed);
        let spread = u64::try_from(START_SPREAD.as_micros()).unwrap_or(u64::MAX);
        let first = now + Duration::from_micros(rng.next_bits() % spread);
        Self {
            version: ConfigVersion::ZERO,
            sources: Vec::new(),
            offered_version: ConfigVersion::ZERO,
            queue: Vec::new(),
            rng,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed),
            next_request: first,
        }
    }

    /// Returns the configuration version in effect.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Records that `version` has taken effect; older versions are ignored.
    pub fn adopt(&mut self, version: ConfigVersion) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.backoff.reset();
        if self.offered_version <= version {
            self.sources.clear();
            self.queue.clear();
        }
    }

    /// Records that `peer` advertised `version`.
    pub fn record_offer(&mut self, peer: &InstanceId, version: ConfigVersion, now: Timestamp) {
        if version <= self.version || version < self.offered_version {
            return;
        }
        if version > self.offered_version {
            self.offered_version = version;
            self.sources.clear();
            self.queue.clear();
            self.backoff.reset();
            self.next_request = now;
        }
        if !self.sources.contains(peer) {
            self.sources.push(peer.clone());
        }
    }

    /// Records that a request to a peer returned no newer configuration.
    pub fn record_failure(&mut self, now: Timestamp) {
        // Shortens a long backoff, since a peer that quickly answers that it has nothing newer
        // costs little time.
        self.next_request = self.next_request.min(now + BACKOFF_BASE);
    }

    /// Returns whether a newer configuration is wanted from a peer.
    pub fn is_needed(&self) -> bool {
        self.version == ConfigVersion::ZERO || self.offered_version > self.version
    }

    /// Returns when the next request is due, if one is needed.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.is_needed().then_some(self.next_request)
    }

    /// Returns the peer to ask at `now`, if a request is due, and schedules the next request.
    pub fn next_peer(
        &mut self,
        peers: &PeerTable,
        zone: &ZoneId,
        now: Timestamp,
    ) -> Option<Instance> {
        if !self.is_needed() || now < self.next_request {
            return None;
        }
        if self.queue.is_empty() {
            self.refill(peers, zone);
        }
        self.next_request = now + self.backoff.next_delay();
        let id = self.queue.pop()?;
        peers.get(&id).map(|m| m.latest.instance.clone())
    }

    /// Refills the queue of candidates, which is consumed from the back.
    fn refill(&mut self, peers: &PeerTable, zone: &ZoneId) {
        let has_offer = self.offered_version > self.version;
        let can_serve = |id: &InstanceId| !has_offer || self.sources.contains(id);
        let known = peers.iter().filter(|m| !m.latest.liveness.is_gone());
        let known = known.map(|m| &m.latest.instance);
        let mut queue: Vec<_> = known.filter(|i| can_serve(&i.id)).collect();
        self.rng.shuffle(&mut queue);
        queue.sort_by_key(|i| i.zone == *zone);
        self.queue = queue.into_iter().map(|i| i.id.clone()).collect();
    }
}
