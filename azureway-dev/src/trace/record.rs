//! A timed line of a trace.

use std::fmt;

use super::{Incident, PeerRequest, TraceRequest};

/// A timed line of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A request arrives at this entry.
    Request(TraceRequest),
    /// A request arrives at an engine from another entry.
    PeerRequest(PeerRequest),
    /// Something happens to the system.
    Incident(Incident),
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(f, "ask {request}"),
            Self::PeerRequest(request) => write!(f, "other {request}"),
            Self::Incident(incident) => incident.fmt(f),
        }
    }
}
