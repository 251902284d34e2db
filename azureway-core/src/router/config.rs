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
    pub queue_limit: usize,
    /// The tries of a request at most.
    pub max_attempts: u32,
    /// The retries that are allowed, in percent of requests.
    pub retry_percent: u32,
    /// The retries beyond these that all entries together may make, where that is bounded.
    pub retry_slack: Option<RetrySlack>,
    /// Whether the entries of all availability zones share the servers.
    pub shared_servers: bool,
    /// How long a request waits before it may be sent to another region whose servers are
    /// not the only ones.
    pub remote_delay: Duration,
    /// What traffic to another region costs, as time: this many prompt tokens weigh a second.
    pub traffic_rate: TokenRate,
    /// The time one way over a link to another availability zone.
    pub zone_latency: Duration,
    /// The time one way over a link to another region.
    pub remote_latency: Duration,
}

/// The default bound of a queue.
const DEFAULT_QUEUE_LIMIT: usize = 2_000;
/// The default bound on the tries of a request.
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// The default share of retries, in percent.
const DEFAULT_RETRY_PERCENT: u32 = 20;
/// The default of the tokens whose traffic to another region weighs a second.
const DEFAULT_TRAFFIC_RATE: TokenRate = TokenRate::new(20_000);
/// The default wait before a request is sent to another region.
const DEFAULT_REMOTE_DELAY: Duration = Duration::from_millis(500);
/// The default time one way to another availability zone.
const DEFAULT_ZONE_LATENCY: Duration = Duration::from_micros(1_500);
/// The default time one way to another region.
const DEFAULT_REMOTE_LATENCY: Duration = Duration::from_millis(8);

impl RouterConfig {
    /// Creates the default bounds for a router in `zone`.
    pub const fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            retry_percent: DEFAULT_RETRY_PERCENT,
            retry_slack: None,
            remote_delay: DEFAULT_REMOTE_DELAY,
            traffic_rate: DEFAULT_TRAFFIC_RATE,
            shared_servers: false,
            zone_latency: DEFAULT_ZONE_LATENCY,
            remote_latency: DEFAULT_REMOTE_LATENCY,
        }
    }

    /// Sets the requests that wait for a pool at most.
    #[must_use]
    pub fn with_queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the share of retries, in percent of requests, and what all entries together may
    /// make beyond it.
    #[must_use]
    pub fn with_retry_budget(mut self, percent: u32, slack: RetrySlack) -> Self {
        (self.retry_percent, self.retry_slack) = (percent, Some(slack));
        self
    }

    /// Sets how long a request waits before it may be sent to another region.
    #[must_use]
    pub fn with_remote_delay(mut self, delay: Duration) -> Self {
        self.remote_delay = delay;
        self
    }

    /// Sets how many prompt tokens sent to another region weigh a second.
    #[must_use]
    pub const fn with_traffic_rate(mut self, rate: TokenRate) -> Self {
        self.traffic_rate = rate;
        self
    }

    /// Lets the entries of all availability zones share the servers.
    #[must_use]
    pub fn with_shared_servers(mut self) -> Self {
        self.shared_servers = true;
        self
    }
}
