//! Decides how many backend servers cache a prefix, by its requests in flight.

use std::collections::HashMap;

use super::DecayingPeak;
use crate::domain::{PrefixKey, Timestamp};

/// Scales the number of replicas of each prefix with its requests in flight.
///
/// A prefix gets enough replicas for its requests in flight to fit in half of their slots. The
/// other half is left for other prefixes. By Little's law, the
/// requests in flight are the prefix's request rate times the service time.
#[derive(Clone, Debug, Default)]
pub struct ReplicaScaler {
    prefixes: HashMap<PrefixKey, DecayingPeak>,
}

/// The number of tracked prefixes at which idle ones are removed.
const MAX_PREFIXES: usize = 4_096;
/// The number of requests in flight below which a prefix is idle.
const IDLE_LEVEL: f64 = 0.5;

impl ReplicaScaler {
    /// Creates a scaler in which every prefix has one replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request of a prefix that was sent at `now`.
    pub fn begin(&mut self, prefix: PrefixKey, now: Timestamp) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes
                .retain(|_, peak| peak.level(now) >= IDLE_LEVEL);
        }
        self.prefixes.entry(prefix).or_default().begin(now);
    }

    /// Records a request of a prefix that ended at `now`.
    pub fn end(&mut self, prefix: PrefixKey, now: Timestamp) {
        if let Some(peak) = self.prefixes.get_mut(&prefix) {
            peak.end(now);
        }
    }

    /// Returns the number of replicas with `slots` slots each that a prefix needs, assuming that
    /// all `entries` entries send as many requests of it as this one.
    pub fn replicas(&self, prefix: PrefixKey, slots: u32, entries: u32, now: Timestamp) -> usize {
        let level = self.prefixes.get(&prefix).map_or(0.0, |h| h.level(now));
        let in_flight = level * f64::from(entries);
        let half = f64::from(slots.max(2)) / 2.0;
        // The cast saturates, and the value is never negative.
        ((in_flight / half).ceil() as usize).max(1)
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}
