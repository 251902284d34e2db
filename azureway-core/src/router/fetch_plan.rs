//! The transfers of cached blocks that an attempt asks its server for.

use std::net::SocketAddr;

/// Where the server of an attempt fetches cached blocks from, and where it saves those that it
/// computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FetchPlan {
    /// The server or store to fetch from.
    pub source: Option<SocketAddr>,
    /// The store to save to.
    pub save_to: Option<SocketAddr>,
}
