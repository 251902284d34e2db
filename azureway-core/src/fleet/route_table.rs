//! Finds the route of a call by its host and path.

use std::collections::BTreeMap;

use crate::domain::Route;

/// The routes of each host, sorted by path prefix from longest to shortest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    hosts: BTreeMap<Box<str>, Vec<Route>>,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Adds a route.
    pub fn insert(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let length = route.prefix.len();
        let index = routes.partition_point(|r| r.prefix.len() > length);
        routes.insert(index, route);
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }
}
