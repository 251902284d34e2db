//! The limits, costs and latencies that the router decides by, with their defaults.

use std::time::Duration;

use crate::cache::CacheIndex;
use crate::domain::{TokenRate, ZoneId};
use crate::retry::RetrySlack;

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The availability zone of the router.
    pub zone: ZoneId,
    /// The maximum number of queued requests per pool.
    pub queue_limit: usize,
    /// The maximum memory of the index of cached blocks, in bytes.
    pub index_memory: usize,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// The retry budget, in percent of requests.
    pub retry_percent: u32,
    /// The retries beyond the budget that all entries together may make, if they share a bound.
    pub retry_slack: Option<RetrySlack>,
    /// Whether the entries of all availability zones share the backend servers.
    pub shared_servers: bool,
    /// The time that a request waits before it may be sent to another region while nearer
    /// servers are alive.
    pub remote_delay: Duration,
    /// The cost of traffic to another region, as the prompt tokens that count as one second of
    /// latency.
    pub traffic_rate: TokenRate,
    /// The one-way latency to another availability zone of the region.
    pub zone_latency: Duration,
    /// The one-way latency to another region.
    pub remote_latency: Duration,
    /// A number by which the decisions of entries that share servers are spread. It differs between
    /// entries.
    pub seed: u64,
}

/// The default maximum number of queued requests per pool.
const DEFAULT_QUEUE_LIMIT: usize = 2_000;
/// The default maximum number of attempts per request.
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// The default retry budget, in percent of requests.
const DEFAULT_RETRY_PERCENT: u32 = 20;
/// The default number of prompt tokens to another region that count as one second.
const DEFAULT_TRAFFIC_RATE: TokenRate = TokenRate::new(20_000);
/// The default time that a request waits before it may be sent to another region.
const DEFAULT_REMOTE_DELAY: Duration = Duration::from_millis(500);
/// The default one-way latency to another availability zone of the region.
const DEFAULT_ZONE_LATENCY: Duration = Duration::from_micros(1_500);
/// The default one-way latency to another region.
const DEFAULT_REMOTE_LATENCY: Duration = Duration::from_millis(8);

impl RouterConfig {
    /// Creates the default configuration of a router in `zone`.
    pub const fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            index_memory: CacheIndex::DEFAULT_MEMORY,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            retry_percent: DEFAULT_RETRY_PERCENT,
            retry_slack: None,
            remote_delay: DEFAULT_REMOTE_DELAY,
            traffic_rate: DEFAULT_TRAFFIC_RATE,
            shared_servers: false,
            zone_latency: DEFAULT_ZONE_LATENCY,
            remote_latency: DEFAULT_REMOTE_LATENCY,
            seed: 0,
        }
    }

    /// Sets the number by which this entry's decisions differ from those of the others.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the maximum number of queued requests per pool.
    #[must_use]
    pub fn with_queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the maximum memory of the index of cached blocks, in bytes.
    #[must_use]
    pub const fn with_index_memory(mut self, bytes: usize) -> Self {
        self.index_memory = bytes;
        self
    }

    /// Sets the retry budget, in percent of requests, and the retries that all entries together
    /// may make beyond it.
    #[must_use]
    pub fn with_retry_budget(mut self, percent: u32, slack: RetrySlack) -> Self {
        (self.retry_percent, self.retry_slack) = (percent, Some(slack));
        self
    }

    /// Sets the time that a request waits before it may be sent to another region.
    #[must_use]
    pub fn with_remote_delay(mut self, delay: Duration) -> Self {
        self.remote_delay = delay;
        self
    }

    /// Sets the prompt tokens to another region that count as one second of latency.
    #[must_use]
    pub const fn with_traffic_rate(mut self, rate: TokenRate) -> Self {
        self.traffic_rate = rate;
        self
    }

    /// Lets the entries of all availability zones share the backend servers.
    #[must_use]
    pub fn with_shared_servers(mut self) -> Self {
        self.shared_servers = true;
        self
    }
}
