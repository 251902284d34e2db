//! The bounds of a router.

use std::time::Duration;

use crate::domain::{TokenRate, ZoneId};
use crate::retry::RetrySlack;

/// The bounds of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The availability zone that the router stands in.
    pub zone: ZoneId,
    /// The requests that wait for a pool at most.
    pub queue: usize,
    /// The tries of a request at most.
    pub tries: u32,
    /// The retries that are allowed, in percent of requests.
    pub retries: u32,
    /// The retries beyond these that all entries together may make, where that is bounded.
    pub slack: Option<RetrySlack>,
    /// Whether the entries of all availability zones share the servers.
    pub shared: bool,
    /// How long a request waits before it may be sent to another region whose servers are
    /// not the only ones.
    pub abroad: Duration,
    /// What traffic to another region costs, as time: this many prompt tokens weigh a second.
    pub toll: TokenRate,
    /// The time one way over a link to another availability zone.
    pub link: Duration,
    /// The time one way over a link to another region.
    pub far: Duration,
}

/// The default bound of a queue.
const DEFAULT_QUEUE: usize = 2_000;
/// The default bound on the tries of a request.
const DEFAULT_TRIES: u32 = 4;
/// The default share of retries, in percent.
const DEFAULT_RETRIES: u32 = 20;
/// The default of the tokens whose traffic to another region weighs a second.
const DEFAULT_TOLL: TokenRate = TokenRate::new(20_000);
/// The default wait before a request is sent to another region.
const DEFAULT_ABROAD: Duration = Duration::from_millis(500);
/// The default time one way to another availability zone.
const DEFAULT_LINK: Duration = Duration::from_micros(1_500);
/// The default time one way to another region.
const DEFAULT_FAR: Duration = Duration::from_millis(8);

impl RouterConfig {
    /// Creates the default bounds for a router in `zone`.
    pub const fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            queue: DEFAULT_QUEUE,
            tries: DEFAULT_TRIES,
            retries: DEFAULT_RETRIES,
            slack: None,
            abroad: DEFAULT_ABROAD,
            toll: DEFAULT_TOLL,
            shared: false,
            link: DEFAULT_LINK,
            far: DEFAULT_FAR,
        }
    }

    /// Sets the requests that wait for a pool at most.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the share of retries, in percent of requests, and what all entries together may
    /// make beyond it.
    #[must_use]
    pub fn with_retries(mut self, percent: u32, slack: RetrySlack) -> Self {
        (self.retries, self.slack) = (percent, Some(slack));
        self
    }

    /// Sets how long a request waits before it may be sent to another region.
    #[must_use]
    pub fn with_abroad(mut self, abroad: Duration) -> Self {
        self.abroad = abroad;
        self
    }

    /// Sets how many prompt tokens sent to another region weigh a second.
    #[must_use]
    pub const fn with_toll(mut self, toll: TokenRate) -> Self {
        self.toll = toll;
        self
    }

    /// Lets the entries of all availability zones share the servers.
    #[must_use]
    pub fn with_shared(mut self) -> Self {
        self.shared = true;
        self
    }
}
