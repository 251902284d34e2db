//! A backend server that could take a request.

use std::time::Duration;

use crate::domain::TokenCount;
use crate::fleet::ServerState;

/// A backend server that could take a request, and what is special to the two of them.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub state: &'a ServerState,
    /// The tokens of the prompt that it is believed to hold.
    pub cached: TokenCount,
    /// The time one way over the link to it.
    pub link: Duration,
    /// What the traffic to it costs, as time.
    pub traffic_cost: Duration,
    /// How strongly the prefix prefers it.
    pub weight: u64,
    /// Whether it is one of the servers that the prefix is kept on.
    pub replica: bool,
}
