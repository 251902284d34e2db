//! The bounds of the membership.

use std::time::Duration;

/// The bounds of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The time between two rounds of heartbeats.
    pub interval: Duration,
    /// The peers of the zone that get a heartbeat in each round.
    pub fanout: usize,
    /// The instances of a zone that keep the link to another zone.
    pub zone_links: usize,
    /// How long a suspected instance has to contradict.
    pub suspicion_timeout: Duration,
    /// The time without any event after which this instance counts as having been paused.
    pub pause_threshold: Duration,
    /// How long an instance that is gone is remembered.
    pub retention: Duration,
    /// The pieces of news in a heartbeat.
    pub max_updates: usize,
    /// The accounts in a heartbeat.
    pub max_accounts: usize,
    /// The time between two requests for all news.
    pub sync_interval: Duration,
}

impl MembershipConfig {
    /// Creates the default bounds.
    pub const fn new() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            zone_links: 2,
            suspicion_timeout: Duration::from_secs(5),
            pause_threshold: Duration::from_secs(3),
            retention: Duration::from_secs(600),
            max_updates: 8,
            max_accounts: 12,
            sync_interval: Duration::from_secs(10),
        }
    }

    /// Sets the peers of the zone that get a heartbeat in each round.
    #[must_use]
    pub const fn with_fanout(mut self, fanout: usize) -> Self {
        self.fanout = fanout;
        self
    }
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self::new()
    }
}
