//! The links between the entry and the engines.

use std::collections::BTreeSet;
use std::time::Duration;

use azureway_core::prelude::ZoneId;

/// The links between the entry and the engines: how long they take and which are cut.
#[derive(Clone, Debug)]
pub struct Links {
    home: ZoneId,
    across: Duration,
    cut: BTreeSet<ZoneId>,
}

/// The time one way within an availability zone.
const WITHIN: Duration = Duration::from_micros(100);

impl Links {
    /// The time one way between a caller and the entry.
    pub const CLIENT: Duration = Duration::from_millis(3);
    /// The time after which a connection that is not made fails.
    pub const CONNECT_LIMIT: Duration = Duration::from_secs(1);
    /// The time after which a silent connection fails.
    pub const READ_LIMIT: Duration = Duration::from_secs(5);

    /// Creates the links of an entry in zone `home`, with `across` one way to another zone.
    pub const fn new(home: ZoneId, across: Duration) -> Self {
        Self {
            home,
            across,
            cut: BTreeSet::new(),
        }
    }

    /// Returns the time one way to a zone.
    pub fn delay(&self, zone: &ZoneId) -> Duration {
        if self.is_home(zone) {
            WITHIN
        } else {
            self.across
        }
    }

    /// Tells whether a zone is the entry's own.
    pub fn is_home(&self, zone: &ZoneId) -> bool {
        *zone == self.home
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
