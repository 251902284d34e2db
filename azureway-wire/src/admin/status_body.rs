//! The answer of an entry instance to the command `status`, in JSON.

use azureway_core::prelude::{Overview, Rank};
use serde::{Deserialize, Serialize};

use super::{CountBody, ServerBody};

/// The state of an entry instance, as its admin interface returns it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct StatusBody {
    /// The name of the instance.
    pub instance: Box<str>,
    /// The availability zone of the instance.
    pub zone: Box<str>,
    /// The version of the configuration in force; 0 for none.
    pub version: u64,
    /// The newer version that was rejected as invalid, if any.
    pub rejected: Option<u64>,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// The number of entry instances that share the zone's servers, including this one.
    pub entries: u32,
    /// The number of queued urgent requests.
    pub urgent: usize,
    /// The number of queued drafting requests.
    pub drafting: usize,
    /// The number of requests in flight.
    pub flights: usize,
    /// The number of requests that wait for a retry.
    pub retries: usize,
    /// The retries that are left in the retry budget.
    pub budget: u64,
    /// The number of claims that are being created, held or being closed.
    pub claims: usize,
    /// The number of requests that were running when one backend server failed.
    #[serde(default)]
    pub suspects: usize,
    /// The number of requests that may not run because two backend servers failed while they ran.
    #[serde(default)]
    pub quarantined: usize,
    /// The number of holds on backend servers that asked for a pause, since the start.
    #[serde(default)]
    pub pauses: u64,
    /// The number of backend servers that are held now.
    #[serde(default)]
    pub paused: usize,
    /// The number of incarnations of backend servers that have announced their leaving.
    #[serde(default)]
    pub announced: u64,
    /// The counts of ended requests by rank, kind and outcome.
    pub counts: Vec<CountBody>,
    /// The backend servers that the instance knows.
    pub servers: Vec<ServerBody>,
}

impl From<Overview> for StatusBody {
    fn from(overview: Overview) -> Self {
        Self {
            version: overview.version.get(),
            draining: overview.draining,
            entries: overview.entries,
            urgent: overview.queued[Rank::Urgent.index()],
            drafting: overview.queued[Rank::Drafting.index()],
            flights: overview.in_flight,
            retries: overview.retries,
            budget: overview.retry_budget,
            claims: overview.claims,
            suspects: overview.suspects,
            quarantined: overview.quarantined,
            pauses: overview.pauses,
            paused: overview.paused,
            announced: overview.announced,
            counts: overview.counts.into_iter().map(Into::into).collect(),
            ..Self::default()
        }
    }
}
