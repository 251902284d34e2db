//! One element of [`ExplainBody`](super::ExplainBody), with the estimates for one server.

use azureway_core::prelude::RouteOption;
use serde::{Deserialize, Serialize};

/// One candidate server in the explanation of a routing decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct OptionBody {
    /// The name of the server.
    pub server: Box<str>,
    /// The availability zone of the server.
    pub zone: Box<str>,
    /// Whether the request would be sent to the server.
    pub chosen: bool,
    /// The reason why the server is not chosen; absent for the chosen one.
    pub obstacle: Option<Box<str>>,
    /// Whether the server is one of the replicas that keep the prefix.
    pub home: bool,
    /// The number of prompt tokens that the server is assumed to have cached.
    pub cached: u64,
    /// The estimated queueing time until the server starts on the prompt, in microseconds.
    pub wait: u64,
    /// The estimated time to compute the uncached prompt tokens, in microseconds.
    pub prefill: u64,
    /// The round-trip time of the network link, in microseconds.
    pub link: u64,
    /// The estimated time to first token, in microseconds.
    pub total: u64,
}

impl From<&RouteOption> for OptionBody {
    fn from(option: &RouteOption) -> Self {
        let micros = |t: std::time::Duration| u64::try_from(t.as_micros()).unwrap_or(u64::MAX);
        let estimate = &option.estimate;
        Self {
            server: option.server.as_str().into(),
            zone: option.zone.as_str().into(),
            chosen: option.exclusion.is_none(),
            obstacle: option.exclusion.map(|o| o.as_str().into()),
            home: option.replica,
            cached: option.cached.get(),
            wait: micros(estimate.wait),
            prefill: micros(estimate.prefill),
            link: micros(estimate.round_trip),
            total: micros(estimate.time_to_first_token()),
        }
    }
}
