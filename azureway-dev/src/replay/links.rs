//! The links between the entry and the engines.

use std::collections::BTreeSet;
use std::time::Duration;

use azureway_core::prelude::ZoneId;

/// The links between the entry and the engines: how long they take and which are cut.
#[derive(Clone, Debug)]
pub struct Links {
    local: ZoneId,
    zone_delay: Duration,
    cut: BTreeSet<ZoneId>,
}

/// The time one way within an availability zone.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

impl Links {
    /// The time one way between a caller and the entry.
    pub const CALLER_DELAY: Duration = Duration::from_millis(3);
    /// The time after which a connection that is not made fails.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// The time after which a silent connection fails.
    pub const READ_TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates the links of an entry in zone `local`, with `zone_delay` one way to another zone.
    pub const fn new(local: ZoneId, zone_delay: Duration) -> Self {
        Self {
            local,
            zone_delay,
            cut: BTreeSet::new(),
        }
    }

    /// Returns the time one way to a zone.
    pub fn delay(&self, zone: &ZoneId) -> Duration {
        if self.is_local(zone) {
            LOCAL_DELAY
        } else {
            self.zone_delay
        }
    }

    /// Tells whether a zone is the entry's own.
    pub fn is_local(&self, zone: &ZoneId) -> bool {
        *zone == self.local
    }

    /// Tells whether a zone is cut off.
    pub fn is_cut(&self, zone: &ZoneId) -> bool {
        self.cut.contains(zone)
    }

    /// Cuts a zone off.
    pub fn cut(&mut self, zone: ZoneId) {
        self.cut.insert(zone);
    }

    /// Mends the link to a zone.
    pub fn heal(&mut self, zone: &ZoneId) {
        self.cut.remove(zone);
    }
}
