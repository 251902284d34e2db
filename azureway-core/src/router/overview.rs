//! The figures about a router that are shown to operators.

use crate::domain::{ConfigVersion, Rank, RequestKind};
use crate::tally::{Outcome, OutcomeCount};

/// A summary of the state of a router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overview {
    /// The version of the configuration in force.
    pub version: ConfigVersion,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// The number of entry instances that share the servers, including this one.
    pub entries: u32,
    /// The number of queued requests of each rank, by [`Rank::index`].
    pub queued: [usize; 2],
    /// The number of requests in flight.
    pub in_flight: usize,
    /// The number of requests that wait for a retry.
    pub retries: usize,
    /// The retries that are left in the retry budget.
    pub retry_budget: u64,
    /// The number of claims that are being created, held or being closed.
    pub claims: usize,
    /// The number of requests that were running when one backend server failed.
    pub suspects: usize,
    /// The number of requests that may not run because two backend servers failed while they ran.
    pub quarantined: usize,
    /// The number of holds on backend servers that asked for a pause, since the start.
    pub pauses: u64,
    /// The number of backend servers that are held now.
    pub paused: usize,
    /// The memory of the index of cached blocks, in bytes.
    pub index_memory: usize,
    /// The number of incarnations of backend servers that have announced their leaving.
    pub announced: u64,
    /// The counts of ended requests by rank, kind and outcome.
    pub counts: Vec<(Rank, RequestKind, Outcome, OutcomeCount)>,
}
