//! One backend server in an explanation.

use super::Obstacle;
use crate::domain::{ServerId, TokenCount, ZoneId};
use crate::route::Estimate;

/// One backend server in an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteOption {
    /// The server.
    pub server: ServerId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// The tokens of the prompt that it is believed to hold.
    pub cached: TokenCount,
    /// The parts of the estimated time to first token.
    pub estimate: Estimate,
    /// Whether the prefix is kept on this server.
    pub replica: bool,
    /// Why it does not get the request; the chosen server has no obstacle.
    pub obstacle: Option<Obstacle>,
}
