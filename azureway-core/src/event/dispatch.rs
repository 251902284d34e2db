//! The data that a driver needs to send an attempt to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cache::Salt;
use crate::domain::{
    Attempt, Incarnation, Rank, ServerId, StreamPosition, Timestamp, TokenCount, WeightsVersion,
};

/// An instruction to send a request to a backend server, with the state that the server is
/// expected to be in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: Attempt,
    /// The server to send to.
    pub server: ServerId,
    /// The address of the server.
    pub address: SocketAddr,
    /// The rank of the request, which the server uses as a priority.
    pub rank: Rank,
    /// The salt of the cache blocks that the server may use for the request.
    pub salt: Salt,
    /// The incarnation that the server must have, if it is known.
    pub incarnation: Option<Incarnation>,
    /// The weights version that the server must have loaded.
    pub weights: WeightsVersion,
    /// The stream position to resume at, or zero for a new stream.
    pub position: StreamPosition,
    /// The prompt tokens that the server is believed to have cached.
    pub cached: TokenCount,
    /// The address of a server to fetch cached blocks from, if one is believed to hold more of
    /// the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The address of the store that the server saves the blocks of the prompt to.
    pub save_to: Option<SocketAddr>,
    /// The estimated time to first token.
    pub expected_ttft: Duration,
    /// The time at which the request may no longer begin on the weights, if newer ones are named.
    pub start_limit: Option<Timestamp>,
}
