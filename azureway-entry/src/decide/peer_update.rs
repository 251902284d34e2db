//! What other entries told.

use azureway_core::prelude::{Demand, Event, LoadNotice, ServerUpdate, Strike};

/// What other entries told, or what follows from it.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// The number of live entries of the zone changed.
    ZoneEntries(u32),
    /// A round of heartbeats went out; this many entries are known in all zones.
    HeartbeatRound(u32),
    /// What client accounts ask for at another entry.
    Demand(Demand),
    /// Another entry told of a backend server.
    Server(ServerUpdate),
    /// Another entry told of a request that was running when a backend server broke.
    Strike(Strike),
    /// An entry is about to order a backend server to load weights.
    Loading(LoadNotice),
}

impl PeerUpdate {
    /// Returns what the core is told.
    pub const fn event(&self) -> Event<'_> {
        match self {
            Self::ZoneEntries(count) => Event::ZoneEntries(*count),
            Self::HeartbeatRound(known) => Event::ListedEntries(*known),
            Self::Demand(demand) => Event::Demand(demand),
            Self::Server(news) => Event::Server(news),
            Self::Strike(strike) => Event::Strike(strike),
            Self::Loading(loading) => Event::Loading(loading),
        }
    }
}
