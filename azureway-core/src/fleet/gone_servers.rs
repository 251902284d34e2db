//! Keeps the holds on the backend servers that left the configuration last.

use std::collections::VecDeque;

use super::{GoneServer, PauseHold};
use crate::domain::{BackendServer, ServerId};

/// The backend servers that left the configuration last, the earliest first.
#[derive(Clone, Debug, Default)]
pub(super) struct GoneServers {
    servers: VecDeque<GoneServer>,
}

impl GoneServers {
    /// The largest number of servers kept.
    const MAX: usize = 1_024;

    /// Keeps a server, in place of the one that left first if there are too many.
    pub(super) fn insert(&mut self, server: GoneServer) {
        self.servers.retain(|s| s.id != server.id);
        if self.servers.len() >= Self::MAX {
            self.servers.pop_front();
        }
        self.servers.push_back(server);
    }

    /// Removes a server that is back. Returns its hold unless another process has its name now.
    pub(super) fn take_hold(&mut self, server: &BackendServer) -> Option<PauseHold> {
        let position = self.servers.iter().position(|s| s.id == server.id)?;
        let gone = self.servers.remove(position)?;
        (gone.address == server.address).then_some(gone.hold)
    }

    /// Returns what is kept of a server.
    pub(super) fn get(&self, id: &ServerId) -> Option<&GoneServer> {
        self.servers.iter().find(|s| s.id == *id)
    }

    /// Returns what is kept of a server for modification.
    pub(super) fn get_mut(&mut self, id: &ServerId) -> Option<&mut GoneServer> {
        self.servers.iter_mut().find(|s| s.id == *id)
    }
}
