//! An event at one point in time of a trace.

use std::fmt;

use super::{Incident, PeerRequest, TraceRequest};

/// A record of a trace, which has a time of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A request arrives at the replayed entry.
    Request(TraceRequest),
    /// A request from another entry arrives at an engine.
    PeerRequest(PeerRequest),
    /// A fault or an operation.
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
