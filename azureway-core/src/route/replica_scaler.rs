//! Over how many replicas each prefix is spread.

use std::collections::HashMap;

use super::DecayingPeak;
use crate::domain::{PrefixKey, Timestamp};

/// Over how many replicas each prefix is spread.
///
/// A prefix gets as many replicas as its requests in flight need slots, counting half of
/// each replica's slots, since other prefixes have a claim on them too. By Little's law the
/// requests in flight are the prefix's rate times the time that a request stays.
#[derive(Clone, Debug, Default)]
pub struct ReplicaScaler {
    prefixes: HashMap<PrefixKey, DecayingPeak>,
}

/// The prefixes that are kept before those that have gone cold are dropped.
const PREFIX_BOUND: usize = 4_096;
/// The requests in flight below which a prefix is cold.
const COLD: f64 = 0.5;

impl ReplicaScaler {
    /// Creates a spread in which every prefix has one replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request of a prefix that was sent at `now`.
    pub fn begin(&mut self, prefix: PrefixKey, now: Timestamp) {
        if self.prefixes.len() >= PREFIX_BOUND {
            self.prefixes.retain(|_, peak| peak.level(now) >= COLD);
        }
        self.prefixes.entry(prefix).or_default().begin(now);
    }

    /// Notes a request of a prefix that ended at `now`.
    pub fn end(&mut self, prefix: PrefixKey, now: Timestamp) {
        if let Some(peak) = self.prefixes.get_mut(&prefix) {
            peak.end(now);
        }
    }

    /// Returns the replicas of `slots` slots that a prefix needs, when `entries` entries
    /// are taken to send as many requests of it as this one.
    pub fn replicas(&self, prefix: PrefixKey, slots: u32, entries: u32, now: Timestamp) -> usize {
        let level = self.prefixes.get(&prefix).map_or(0.0, |h| h.level(now));
        let flights = level * f64::from(entries);
        let half = f64::from(slots.max(2)) / 2.0;
        // The cast saturates, and nothing is negative.
        ((flights / half).ceil() as usize).max(1)
    }

    /// Returns the number of prefixes that are kept.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Tells whether no prefix is kept.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}
