//! An update that the peer duty passes on to the deciding duty.

use azureway_core::prelude::{CrashReport, Event, LoadNotice, ServerUpdate, ZoneDemand};

/// An update from other entry instances, or one derived from their heartbeats.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// The number of live entry instances in this availability zone changed.
    ZoneEntries(u32),
    /// A round of heartbeats was sent. This many entry instances are known in all availability
    /// zones.
    HeartbeatRound(u32),
    /// The use of limited client accounts in the availability zones.
    Demand(Vec<ZoneDemand>),
    /// Another entry instance reported a status change of a backend server.
    Server(ServerUpdate),
    /// Another entry instance reported a request that was running when a backend server failed.
    CrashReport(CrashReport),
    /// An entry instance is about to order a backend server to load weights, or the load has
    /// completed.
    Loading(LoadNotice),
}

impl PeerUpdate {
    /// Returns the router event for the update.
    pub const fn event(&self) -> Event<'_> {
        match self {
            Self::ZoneEntries(count) => Event::ZoneEntries(*count),
            Self::HeartbeatRound(known) => Event::ListedEntries(*known),
            Self::Demand(zones) => Event::Demand(zones.as_slice()),
            Self::Server(update) => Event::Server(update),
            Self::CrashReport(report) => Event::CrashReport(report),
            Self::Loading(loading) => Event::Loading(loading),
        }
    }
}
