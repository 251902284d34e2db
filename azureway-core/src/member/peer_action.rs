//! The output of the membership: what the peer duty must send or pass on.

use super::{GossipUpdate, Heartbeat, LoadNotice, ServerUpdate};
use crate::admit::ZoneDemand;
use crate::domain::{ConfigVersion, Instance};
use crate::quarantine::CrashReport;

/// An action that the membership requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Send a heartbeat to a peer.
    Send(Instance, Heartbeat),
    /// Send an announcement to a peer as a heartbeat whose reply is not needed. It may be dropped if
    /// the peer has not answered earlier ones, and a missing answer is no evidence against the peer.
    Announce(Instance, Heartbeat),
    /// Reply to the heartbeat that was just handled.
    Reply(Heartbeat),
    /// Fetch the configuration from a peer if it is newer than the version.
    Fetch(Instance, ConfigVersion),
    /// Use this number of live entry instances of the zone, including this one.
    LiveCount(u32),
    /// Send a heartbeat about the use of client accounts to a peer. Its reply is handled as that of any
    /// heartbeat, but it belongs to no round of heartbeats.
    Relay(Instance, Heartbeat),
    /// Apply the use of client accounts in the availability zones.
    Demand(Vec<ZoneDemand>),
    /// Apply an update about a backend server.
    Server(ServerUpdate),
    /// Apply a crash report against a request.
    CrashReport(CrashReport),
    /// Apply the notice that a backend server is about to load weights.
    Loading(LoadNotice),
}

impl PeerAction {
    /// Returns the action that applies `update`; an update about an instance needs none.
    pub fn from_update(update: &GossipUpdate) -> Option<Self> {
        match update {
            GossipUpdate::Member(_) => None,
            GossipUpdate::Server(update) => Some(Self::Server(update.clone())),
            GossipUpdate::CrashReport(report) => Some(Self::CrashReport(report.clone())),
            GossipUpdate::Loading(loading) => Some(Self::Loading(loading.clone())),
        }
    }
}
