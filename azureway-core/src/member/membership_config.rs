//! The intervals, timeouts and size limits of gossip and of failure detection.

use std::time::Duration;

/// The timing and size limits of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The interval between two rounds of heartbeats.
    pub interval: Duration,
    /// The number of peers of the own zone that get a heartbeat in each round.
    pub fanout: usize,
    /// The number of instances of a zone that maintain the link to another zone.
    pub zone_links: usize,
    /// The time that a suspected instance has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time without any event after which this instance assumes that it was paused.
    pub pause_threshold: Duration,
    /// The time for which an instance that is dead or has left is kept.
    pub retention: Duration,
    /// The largest number of updates in a heartbeat.
    pub max_updates: usize,
    /// The largest number of client accounts in a heartbeat.
    pub max_accounts: usize,
    /// The shortest interval between two requests for a full sync.
    pub sync_interval: Duration,
}

impl MembershipConfig {
    /// Creates the default limits.
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

    /// Sets the number of peers of the own zone that get a heartbeat in each round.
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
