//! What the membership wants done.

use super::{GossipUpdate, Heartbeat, LoadNotice, ServerUpdate};
use crate::admit::Demand;
use crate::domain::{ConfigVersion, Instance};
use crate::quarantine::Strike;

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Send a heartbeat to a peer.
    Send(Instance, Heartbeat),
    /// Answer the heartbeat that was just heard.
    Reply(Heartbeat),
    /// Ask a peer for its configuration if it is newer than the version.
    Fetch(Instance, ConfigVersion),
    /// Take over the number of live entry instances of this zone, with this one.
    LiveCount(u32),
    /// Take over what client accounts ask of a peer.
    Demand(Demand),
    /// Take over news of a backend server.
    Server(ServerUpdate),
    /// Take over a strike.
    Strike(Strike),
    /// A backend server is about to load weights.
    Loading(LoadNotice),
}

impl PeerAction {
    /// Returns the action that takes over news of a backend server or a request.
    pub fn from_update(news: &GossipUpdate) -> Option<Self> {
        match news {
            GossipUpdate::Member(_) => None,
            GossipUpdate::Server(news) => Some(Self::Server(news.clone())),
            GossipUpdate::Strike(strike) => Some(Self::Strike(strike.clone())),
            GossipUpdate::Loading(loading) => Some(Self::Loading(loading.clone())),
        }
    }
}
