//! The deciding duty's state as operators and metric scrapes read it.

use azureway_core::prelude::{ConfigVersion, Overview, ServerState, Timestamp};

/// A snapshot of the deciding duty's state, for the admin interface and the metrics.
#[derive(Clone, Debug)]
pub struct DaemonStatus {
    /// The time of the snapshot.
    pub at: Timestamp,
    /// The router's counts of requests, queues and claims.
    pub overview: Overview,
    /// The configuration version that was rejected as invalid, if it is newer than the one in
    /// effect.
    pub rejected: Option<ConfigVersion>,
    /// The state of each backend server, in the order of their names.
    pub servers: Vec<ServerState>,
}
