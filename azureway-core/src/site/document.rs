//! The configuration of a site.

use super::SiteService;
use crate::domain::{CallerLimits, ClientAccount, ConfigVersion};
use crate::fleet::RouteTable;

/// One version of a site's configuration, without its servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteDocument {
    /// The version, which only grows.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: RouteTable,
    /// The services.
    pub services: Vec<SiteService>,
    /// The client accounts; where there are none, no key is asked for.
    pub accounts: Vec<ClientAccount>,
    /// What callers may send and how long they may take.
    pub limits: CallerLimits,
}
