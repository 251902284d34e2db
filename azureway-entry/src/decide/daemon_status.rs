//! What the deciding duty shows of itself.

use azureway_core::prelude::{ConfigVersion, Overview, ServerState, Timestamp};

/// What the deciding duty shows of itself, to operators and to the measuring duty.
#[derive(Clone, Debug)]
pub struct DaemonStatus {
    /// When it was looked at.
    pub at: Timestamp,
    /// The state at a glance.
    pub overview: Overview,
    /// A version that is newer than the one in force, and bad.
    pub rejected: Option<ConfigVersion>,
    /// The backend servers, in the order of their names.
    pub servers: Vec<ServerState>,
}
