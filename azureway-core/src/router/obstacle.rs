//! Why a backend server does not get a request.

use super::PlacementRequest;
use crate::domain::{ModelService, Timestamp};
use crate::fleet::{Health, ServerState};

/// Why a backend server does not get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Obstacle {
    /// It is leaving.
    Leaving,
    /// It failed and is left alone for a while.
    Suspect,
    /// It has other weights loaded.
    Weights,
    /// This entry fills its share of the server's slots.
    Full,
    /// A nearer server is good enough.
    Far,
    /// Another server is estimated to be as good or better.
    Behind,
}

impl Obstacle {
    /// Returns why a server is no candidate.
    pub fn between(
        want: PlacementRequest<'_>,
        state: &ServerState,
        service: &ModelService,
        now: Timestamp,
    ) -> Self {
        if !state.accepts(now) {
            return match state.health() {
                Health::Leaving => Self::Leaving,
                Health::Live | Health::Suspect => Self::Suspect,
            };
        }
        if !want.fits(state, service, now) {
            return Self::Weights;
        }
        match want.has_capacity(state, now) {
            true => Self::Far,
            false => Self::Full,
        }
    }

    /// Returns the name of the obstacle.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Weights => "weights",
            Self::Full => "full",
            Self::Far => "far",
            Self::Behind => "behind",
        }
    }
}
