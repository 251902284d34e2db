//! Getting a newer configuration from peers.

use std::time::Duration;

use super::PeerTable;
use crate::domain::{ConfigVersion, Instance, InstanceId, Timestamp, ZoneId};
use crate::retry::Backoff;
use crate::util::Xorshift;

/// Getting a newer configuration from peers, one of them at a time.
///
/// Without any configuration every peer is asked, those of the zone first. Later only a peer
/// that is known to have a newer version is.
#[derive(Clone, Debug)]
pub struct CatchUp {
    version: ConfigVersion,
    offers: Vec<InstanceId>,
    offered: ConfigVersion,
    queue: Vec<InstanceId>,
    draws: Xorshift,
    backoff: Backoff,
    next: Timestamp,
}

/// The first wait for an answer before the next peer is asked.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// The longest wait before the next peer is asked: half of the time in which a change is in
/// force.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// The time over which the instances of a herd spread their first question.
const START_SPREAD: Duration = Duration::from_millis(100);

impl CatchUp {
    /// Creates the state of an instance that starts at `now` without a configuration.
    pub fn new(seed: u64, now: Timestamp) -> Self {
        let mut draws = Xorshift::new(seed);
        let spread = u64::try_from(START_SPREAD.as_micros()).unwrap_or(u64::MAX);
        let first = now + Duration::from_micros(draws.next_bits() % spread);
        Self {
            version: ConfigVersion::ZERO,
            offers: Vec::new(),
            offered: ConfigVersion::ZERO,
            queue: Vec::new(),
            draws,
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed),
            next: first,
        }
    }

    /// Returns the version in force.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Notes that a version is in force.
    pub fn adopt(&mut self, version: ConfigVersion) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.backoff.reset();
        if self.offered <= version {
            self.offers.clear();
            self.queue.clear();
        }
    }

    /// Notes that a peer has a version in force.
    pub fn offer(&mut self, peer: &InstanceId, version: ConfigVersion, now: Timestamp) {
        if version <= self.version || version < self.offered {
            return;
        }
        if version > self.offered {
            self.offered = version;
            self.offers.clear();
            self.queue.clear();
            self.backoff.reset();
            self.next = now;
        }
        if !self.offers.contains(peer) {
            self.offers.push(peer.clone());
        }
    }

    /// Notes that a peer which was asked gave nothing.
    pub fn fail(&mut self, now: Timestamp) {
        // The wait that began with the question stands, unless it is a long one: a peer that
        // answers that it has nothing costs little time.
        self.next = self.next.min(now + BACKOFF_BASE);
    }

    /// Tells whether a peer should be asked.
    pub fn is_wanted(&self) -> bool {
        self.version == ConfigVersion::ZERO || self.offered > self.version
    }

    /// Returns when the next peer is asked.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.is_wanted().then_some(self.next)
    }

    /// Returns the peer to ask now, if one is due.
    pub fn due(&mut self, peers: &PeerTable, zone: &ZoneId, now: Timestamp) -> Option<Instance> {
        if !self.is_wanted() || now < self.next {
            return None;
        }
        if self.queue.is_empty() {
            self.refill(peers, zone);
        }
        self.next = now + self.backoff.next_delay();
        let id = self.queue.pop()?;
        peers.get(&id).map(|m| m.latest.instance.clone())
    }

    /// Fills the queue, whose last is asked first.
    fn refill(&mut self, peers: &PeerTable, zone: &ZoneId) {
        let offered = self.offered > self.version;
        let able = |id: &InstanceId| !offered || self.offers.contains(id);
        let known = peers.iter().filter(|m| !m.latest.liveness.is_gone());
        let known = known.map(|m| &m.latest.instance);
        let mut queue: Vec<_> = known.filter(|i| able(&i.id)).collect();
        self.draws.shuffle(&mut queue);
        queue.sort_by_key(|i| i.zone == *zone);
        self.queue = queue.into_iter().map(|i| i.id.clone()).collect();
    }
}
