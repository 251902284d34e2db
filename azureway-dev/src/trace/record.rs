//! A timed line of a trace.

use std::fmt;

use super::{Ask, Incident, Other};

/// A timed line of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A request arrives at this entry.
    Ask(Ask),
    /// A request arrives at an engine from another entry.
    Other(Other),
    /// Something happens to the system.
    Incident(Incident),
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ask(ask) => write!(f, "ask {ask}"),
            Self::Other(other) => write!(f, "other {other}"),
            Self::Incident(incident) => incident.fmt(f),
        }
    }
}
