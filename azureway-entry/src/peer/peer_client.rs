//! What the deciding duty tells other entries.

use azureway_core::prelude::{Demand, InstanceId, ServerUpdate, Strike};
use flume::Sender;

use super::PeerMessage;

/// What the deciding duty tells other entries. A message that finds the ring full is lost, since
/// decisions do not wait.
#[derive(Clone, Debug)]
pub struct PeerClient {
    me: InstanceId,
    peer: Sender<PeerMessage>,
}

impl PeerClient {
    /// Creates the client of instance `me`.
    pub const fn new(me: InstanceId, peer: Sender<PeerMessage>) -> Self {
        Self { me, peer }
    }

    /// Returns the name under which the entry speaks.
    pub const fn me(&self) -> &InstanceId {
        &self.me
    }

    /// Tells what client accounts ask for here.
    pub fn send_demand(&self, demand: Demand) {
        let _ = self.peer.try_send(PeerMessage::Demand(demand));
    }

    /// Tells of a backend server.
    pub fn send_server(&self, news: ServerUpdate) {
        let _ = self.peer.try_send(PeerMessage::Server(news));
    }

    /// Tells of a strike.
    pub fn send_strike(&self, strike: Strike) {
        let _ = self.peer.try_send(PeerMessage::Strike(strike));
    }
}
