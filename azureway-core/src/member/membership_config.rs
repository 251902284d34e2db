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
    pub links: usize,
    /// How long a suspected instance has to contradict.
    pub suspicion: Duration,
    /// The time without any event after which this instance counts as having been paused.
    pub pause: Duration,
    /// How long an instance that is gone is remembered.
    pub memory: Duration,
    /// The pieces of news in a heartbeat.
    pub news: usize,
    /// The accounts in a heartbeat.
    pub demand: usize,
    /// The time between two requests for all news.
    pub refresh: Duration,
}

impl MembershipConfig {
    /// Creates the default bounds.
    pub const fn new() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            links: 2,
            suspicion: Duration::from_secs(5),
            pause: Duration::from_secs(3),
            memory: Duration::from_secs(600),
            news: 8,
            demand: 12,
            refresh: Duration::from_secs(10),
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
