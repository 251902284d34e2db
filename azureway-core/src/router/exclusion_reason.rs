//! The reason why a backend server was not chosen, for the explanation of a placement.

use super::PlacementRequest;
use crate::domain::{ModelService, Timestamp};
use crate::fleet::{Health, ServerState};

/// The reason why a backend server is not chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExclusionReason {
    /// The server is leaving the fleet.
    Leaving,
    /// The server failed recently and is not retried yet.
    Suspect,
    /// The server asked this entry for a pause.
    Paused,
    /// The server has other weights loaded, or is too busy to begin before its weights are outdated.
    WeightsNotLoaded,
    /// The server has no free slot for this request, by this entry's share of its slots.
    NoCapacity,
    /// A nearer server is fast enough.
    NearerAvailable,
    /// The policy preferred another candidate.
    Outranked,
}

impl ExclusionReason {
    /// Returns the reason why a server is not a candidate.
    pub fn for_server(
        query: PlacementRequest<'_>,
        state: &ServerState,
        service: &ModelService,
        now: Timestamp,
    ) -> Self {
        if !state.accepts(now) {
            return match state.health() {
                Health::Leaving => Self::Leaving,
                _ if state.pause.holds(now) => Self::Paused,
                Health::Live | Health::Suspect => Self::Suspect,
            };
        }
        if !query.is_served_by(state, service, now) {
            return Self::WeightsNotLoaded;
        }
        match query.has_capacity(state, now) {
            true => Self::NearerAvailable,
            false => Self::NoCapacity,
        }
    }

    /// Returns the name of the reason on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Paused => "paused",
            Self::WeightsNotLoaded => "weights",
            Self::NoCapacity => "full",
            Self::NearerAvailable => "far",
            Self::Outranked => "behind",
        }
    }
}
