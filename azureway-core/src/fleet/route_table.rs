//! The routes by host.

use std::collections::BTreeMap;

use crate::domain::Route;

/// The routes by host, the longest prefix first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    hosts: BTreeMap<Box<str>, Vec<Route>>,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a route.
    pub fn insert(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let length = route.prefix.len();
        let place = routes.partition_point(|r| r.prefix.len() > length);
        routes.insert(place, route);
    }

    /// Returns the route of a host whose prefix is the longest that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }
}
