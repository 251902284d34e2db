//! The input of a routing policy: one backend server that could take the request.

use std::time::Duration;

use crate::domain::TokenCount;
use crate::fleet::ServerState;

/// A backend server that could take a request, with the figures that depend on both the server
/// and the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The runtime state of the server.
    pub state: &'a ServerState,
    /// The tokens at the head of the prompt that are believed to be cached there.
    pub cached: TokenCount,
    /// The one-way latency of the network link to the server.
    pub link_latency: Duration,
    /// The cost of the traffic to the server, converted to time.
    pub traffic_cost: Duration,
    /// The rendezvous weight of the server for the prefix; the highest is preferred.
    pub weight: u64,
    /// Whether the server is one of the replicas that the prefix is placed on.
    pub replica: bool,
}
