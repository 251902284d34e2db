//! The definition from which a site's model services and plain services are built.

use crate::domain::{CacheStore, EngineCapacity, ModelId, ServiceId};

/// A service of a site, as the configuration defines it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteService {
    /// The name of the service.
    pub id: ServiceId,
    /// The model that the service runs; a plain service has none.
    pub model: Option<ModelId>,
    /// Whether the servers fetch cached blocks from one another.
    pub peer_fetch: bool,
    /// The number of polls of its feed that a server holds at once, if it is bounded.
    pub feed_limit: Option<u32>,
    /// The memory and the link of each of its servers, if the configuration states them.
    pub capacity: Option<EngineCapacity>,
    /// The store of cached blocks, if the service is one rather than a pool of servers.
    pub store: Option<CacheStore>,
}
