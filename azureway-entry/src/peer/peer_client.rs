//! Non-blocking messages from the deciding duty to the peer duty.

use azureway_core::prelude::{CrashReport, Demand, InstanceId, ServerUpdate};
use flume::Sender;

use super::PeerMessage;

/// The deciding duty's handle to the peer duty, which passes updates on to its peers.
///
/// A message is dropped if the ring is full, since decisions do not wait.
#[derive(Clone, Debug)]
pub struct PeerClient {
    me: InstanceId,
    peer: Sender<PeerMessage>,
}

impl PeerClient {
    /// Creates the client of instance `me`, which sends to the ring `peer`.
    pub const fn new(me: InstanceId, peer: Sender<PeerMessage>) -> Self {
        Self { me, peer }
    }

    /// Returns the ID of this entry instance.
    pub const fn me(&self) -> &InstanceId {
        &self.me
    }

    /// Sends the demand of client accounts at this entry instance.
    pub fn send_demand(&self, demand: Demand) {
        let _ = self.peer.try_send(PeerMessage::Demand(demand));
    }

    /// Sends an update about a backend server.
    pub fn send_server(&self, update: ServerUpdate) {
        let _ = self.peer.try_send(PeerMessage::Server(update));
    }

    /// Sends a crash report of a request.
    pub fn send_crash_report(&self, report: CrashReport) {
        let _ = self.peer.try_send(PeerMessage::CrashReport(report));
    }
}
