//! A store that keeps cached blocks for the model servers of a site.

use std::net::SocketAddr;

use super::ZoneId;

/// A store of cached blocks, from which model servers fetch and to which they save.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStore {
    /// The address of the store.
    pub address: SocketAddr,
    /// The availability zone of the store.
    pub zone: ZoneId,
}
