//! A service of a site.

use std::net::SocketAddr;

use crate::domain::{ModelId, ServiceId};

/// A service of a site, as the configuration gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteService {
    /// The name.
    pub id: ServiceId,
    /// The model that it serves; a plain service has none.
    pub model: Option<ModelId>,
    /// Whether its servers fetch cached blocks from one another.
    pub fetches: bool,
    /// The address, where the service is a store of cached blocks and not a pool of servers.
    pub store: Option<SocketAddr>,
}
