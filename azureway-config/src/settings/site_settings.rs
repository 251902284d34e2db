//! The settings of an entry that serves a site.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::AvailabilityZone;

/// The settings of an entry that serves a site: what its platform promises and asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteSettings {
    /// The address on which readiness and metrics are told.
    pub ready: SocketAddr,
    /// The availability zones with their regions.
    pub zones: Vec<AvailabilityZone>,
    /// The retries that are allowed, in percent of a service's requests.
    pub retry_percent: u32,
    /// The retries beyond these that all entries together may make within the window.
    pub retry_slack: u32,
    /// The window of the slack.
    pub retry_window: Duration,
    /// How long whoever gives orders must have been silent before another one gives any.
    pub lease_term: Duration,
    /// The time in which newly named weights must answer everything.
    pub rollout_timeout: Duration,
    /// How long after its start a process is not held to the bounds of the platform.
    pub startup_grace: Duration,
    /// The time between the signal to stop and the end of the process.
    pub shutdown_grace: Duration,
}
