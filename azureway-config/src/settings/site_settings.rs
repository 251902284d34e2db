//! The additional settings of an entry daemon on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::AvailabilityZone;

/// The settings of an entry daemon that serves a site: the guarantees and requirements of the
/// platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteSettings {
    /// The address that serves readiness and metrics.
    pub ready: SocketAddr,
    /// The availability zones of the site with their regions.
    pub zones: Vec<AvailabilityZone>,
    /// The allowed retries, in percent of the requests of a service.
    pub retry_percent: u32,
    /// The number of retries beyond the percentage that all entry instances together may make
    /// within the retry window.
    pub retry_slack: u32,
    /// The time window to which the retry slack applies.
    pub retry_window: Duration,
    /// The time for which the instance that sends load orders must have been silent before another
    /// instance may send any.
    pub lease_term: Duration,
    /// The time within which newly named weights must serve all requests.
    pub rollout_timeout: Duration,
    /// The time after its start during which a process is not held to the platform's bounds.
    pub startup_grace: Duration,
    /// The time within which a change of the platform's objects must be in force.
    pub change_limit: Duration,
    /// The time from the signal to stop until the process must have ended.
    pub shutdown_grace: Duration,
}
