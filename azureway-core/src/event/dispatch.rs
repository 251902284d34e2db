//! An order to send a request to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cache::Salt;
use crate::domain::{
    Attempt, Incarnation, Rank, ServerId, StreamPosition, TokenCount, WeightsVersion,
};

/// An order to send a request to a backend server, with what is expected of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The try.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerId,
    /// The address that it serves on.
    pub address: SocketAddr,
    /// The rank, which the server honours as a priority.
    pub rank: Rank,
    /// The salt of the blocks that the server may use.
    pub salt: Salt,
    /// The incarnation that the server must have, if one is known.
    pub incarnation: Option<Incarnation>,
    /// The weights version that the server must have loaded.
    pub weights: WeightsVersion,
    /// The position to resume at.
    pub position: StreamPosition,
    /// The prompt tokens that the server is believed to hold.
    pub cached: TokenCount,
    /// A server that is believed to hold more of the prompt, to fetch it from.
    pub fetch_from: Option<SocketAddr>,
    /// The time to the first token that was estimated.
    pub expected_ttft: Duration,
}
