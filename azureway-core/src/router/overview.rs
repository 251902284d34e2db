//! The state of a router at a glance.

use crate::domain::{ConfigVersion, Rank, RequestKind};
use crate::tally::{Outcome, OutcomeCount};

/// The state of a router at a glance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overview {
    /// The configuration in force.
    pub version: ConfigVersion,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// The entry instances that share the zone's servers, with this one.
    pub entries: u32,
    /// The requests of each rank that wait for a server, by [`Rank::index`].
    pub queued: [usize; 2],
    /// The requests in flight.
    pub in_flight: usize,
    /// The requests that wait to be tried again.
    pub retries: usize,
    /// The retries that are left in the budget.
    pub retry_budget: u64,
    /// The claims that are asked for, held or being settled.
    pub claims: usize,
    /// The requests that were running when one backend server broke.
    pub suspects: usize,
    /// The requests that do not run, since two backend servers broke under them.
    pub quarantined: usize,
    /// How the requests ended.
    pub counts: Vec<(Rank, RequestKind, Outcome, OutcomeCount)>,
}
