//! Explains why the router would or would not choose a backend server for a request.

use super::ExclusionReason;
use crate::domain::{ServerId, TokenCount, ZoneId};
use crate::route::Estimate;

/// The explanation of a placement decision for one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteOption {
    /// The backend server.
    pub server: ServerId,
    /// The availability zone of the server.
    pub zone: ZoneId,
    /// The prompt tokens that the server is believed to have cached.
    pub cached: TokenCount,
    /// The components of the estimated time to first token.
    pub estimate: Estimate,
    /// Whether the server is a replica of the prefix.
    pub replica: bool,
    /// The reason why the server is not chosen, or `None` for the chosen one.
    pub exclusion: Option<ExclusionReason>,
}
