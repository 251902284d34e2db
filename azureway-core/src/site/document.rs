//! The part of a site's state that the configuration defines.

use super::SiteService;
use crate::domain::{AccountId, CallerLimits, ClientAccount, ConfigVersion};
use crate::fleet::RouteTable;

/// One version of the configuration of a site, without its servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteDocument {
    /// The version, which only increases.
    pub version: ConfigVersion,
    /// The routes by which requests reach the services.
    pub routes: RouteTable,
    /// The services of the site.
    pub services: Vec<SiteService>,
    /// The client accounts. If there are none, requests need no API key.
    pub accounts: Vec<ClientAccount>,
    /// The accounts whose limits could not be read, with the reasons. Their last limits stay in force.
    pub limit_faults: Vec<(AccountId, Box<str>)>,
    /// The size and time limits of callers' requests.
    pub limits: CallerLimits,
}
