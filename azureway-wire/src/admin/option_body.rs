//! One backend server in an explanation.

use azureway_core::prelude::RouteOption;
use serde::{Deserialize, Serialize};

/// One backend server in an explanation.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct OptionBody {
    /// The server.
    pub server: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// Whether the request would go here.
    pub chosen: bool,
    /// Why it would not.
    pub obstacle: Option<Box<str>>,
    /// Whether the prefix is kept on this server.
    pub home: bool,
    /// The tokens of the prompt that it is believed to hold.
    pub cached: u64,
    /// The estimated time until it turns to the prompt, in microseconds.
    pub wait: u64,
    /// The estimated time to compute what is not cached, in microseconds.
    pub prefill: u64,
    /// The time on the link, there and back, in microseconds.
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
            chosen: option.obstacle.is_none(),
            obstacle: option.obstacle.map(|o| o.as_str().into()),
            home: option.replica,
            cached: option.cached.get(),
            wait: micros(estimate.wait),
            prefill: micros(estimate.prefill),
            link: micros(estimate.link),
            total: micros(estimate.total()),
        }
    }
}
