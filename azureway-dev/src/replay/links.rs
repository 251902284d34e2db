//! Delays and outages of the network between the entry and the engines.

use std::collections::BTreeSet;
use std::time::Duration;

use azureway_core::prelude::ZoneId;

/// The links between the entry and the engines, with their latencies and outages.
#[derive(Clone, Debug)]
pub struct Links {
    local: ZoneId,
    zone_delay: Duration,
    cut: BTreeSet<ZoneId>,
}

/// The one-way latency within an availability zone.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

impl Links {
    /// The one-way latency between a caller and the entry.
    pub const CALLER_DELAY: Duration = Duration::from_millis(3);
    /// The time that a connection attempt over a cut link takes to fail.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// The time for which a connection is silent before its attempt fails.
    pub const READ_TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates the links of an entry in zone `local`, with a one-way latency of `zone_delay` to
    /// other zones.
    pub const fn new(local: ZoneId, zone_delay: Duration) -> Self {
        Self {
            local,
            zone_delay,
            cut: BTreeSet::new(),
        }
    }

    /// Returns the one-way latency to a zone.
    pub fn delay(&self, zone: &ZoneId) -> Duration {
        if self.is_local(zone) {
            LOCAL_DELAY
        } else {
            self.zone_delay
        }
    }

    /// Returns whether a zone is that of the entry.
    pub fn is_local(&self, zone: &ZoneId) -> bool {
        *zone == self.local
    }

    /// Returns whether the link to a zone is cut.
    pub fn is_cut(&self, zone: &ZoneId) -> bool {
        self.cut.contains(zone)
    }

    /// Cuts the link to a zone.
    pub fn cut(&mut self, zone: ZoneId) {
        self.cut.insert(zone);
    }

    /// Restores the link to a zone.
    pub fn heal(&mut self, zone: &ZoneId) {
        self.cut.remove(zone);
    }
}
