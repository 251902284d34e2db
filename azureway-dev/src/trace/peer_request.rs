//! The requests of other entries, which load the engines of a replay.

use std::fmt;

use super::TraceRequest;

/// A request that another entry sends to an engine that it has chosen itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    /// The name of the engine.
    pub server: String,
    /// The request.
    pub request: TraceRequest,
}

impl fmt::Display for PeerRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.server, self.request)
    }
}
