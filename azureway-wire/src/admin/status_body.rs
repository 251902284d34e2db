//! The state of an entry instance.

use azureway_core::prelude::{Overview, Rank};
use serde::{Deserialize, Serialize};

use super::{CountBody, ServerBody};

/// The state of an entry instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct StatusBody {
    /// The name of the instance.
    pub instance: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// The version of the configuration in force; 0 for none.
    pub version: u64,
    /// A newer version that is bad.
    pub rejected: Option<u64>,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// The entry instances that share the zone's servers, with this one.
    pub entries: u32,
    /// The urgent requests that wait for a server.
    pub urgent: usize,
    /// The drafting requests that wait for a server.
    pub drafting: usize,
    /// The requests in flight.
    pub flights: usize,
    /// The requests that wait to be tried again.
    pub retries: usize,
    /// The retries that are left in the budget.
    pub budget: u64,
    /// The claims that are asked for, held or being settled.
    pub claims: usize,
    /// The requests that were running when one backend server broke.
    #[serde(default)]
    pub suspects: usize,
    /// The requests that do not run, since two backend servers broke under them.
    #[serde(default)]
    pub quarantined: usize,
    /// How the requests ended.
    pub counts: Vec<CountBody>,
    /// The backend servers.
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
            counts: overview.counts.into_iter().map(Into::into).collect(),
            ..Self::default()
        }
    }
}
