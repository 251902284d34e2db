//! Remembers the servers that were leaving when they were no longer listed.

use std::collections::VecDeque;

use crate::domain::{Incarnation, ServerId};

/// The servers that left last, the earliest first. A platform that comes back from an older copy may list them
/// again as they were before.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftServers {
    servers: VecDeque<(ServerId, Incarnation)>,
}

impl LeftServers {
    /// The largest number of servers that are remembered.
    const MAX: usize = 1_024;

    /// Adds an incarnation of a server that has left, in place of the earliest one if there are too many.
    pub(super) fn insert(&mut self, server: &ServerId, incarnation: Incarnation) {
        self.servers.retain(|(id, _)| id != server);
        if self.servers.len() >= Self::MAX {
            self.servers.pop_front();
        }
        self.servers.push_back((server.clone(), incarnation));
    }

    /// Returns whether an incarnation of a server has left, or a later one.
    pub(super) fn contains(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|(id, left)| id == server && *left >= incarnation)
    }
}
