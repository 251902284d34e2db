//! What happens to the system in a trace.

use std::fmt;

/// What happens to the system in a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incident {
    /// An engine crashes and comes back empty after some milliseconds.
    Crash(String, u64),
    /// An engine is leaving.
    Leave(String),
    /// An engine is told to load a version of the weights.
    Load(String, u64),
    /// The configuration names a version of the weights.
    Weights(u64),
    /// The entry restarts with no state.
    Restart,
    /// The entry's zone is cut off from another one.
    Cut(String),
    /// The link to another zone is there again.
    Heal(String),
    /// The platform stops answering.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

impl Incident {
    /// Reads an incident from its words.
    pub fn parse(words: &[&str]) -> Option<Self> {
        let incident = match *words {
            ["crash", server, millis] => Self::Crash(server.to_owned(), millis.parse().ok()?),
            ["leave", server] => Self::Leave(server.to_owned()),
            ["load", server, version] => Self::Load(server.to_owned(), version.parse().ok()?),
            ["weights", version] => Self::Weights(version.parse().ok()?),
            ["restart"] => Self::Restart,
            ["cut", zone] => Self::Cut(zone.to_owned()),
            ["heal", zone] => Self::Heal(zone.to_owned()),
            ["platform", "down"] => Self::PlatformDown,
            ["platform", "up"] => Self::PlatformUp,
            _ => return None,
        };
        Some(incident)
    }
}

impl fmt::Display for Incident {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crash(server, millis) => write!(f, "crash {server} {millis}"),
            Self::Leave(server) => write!(f, "leave {server}"),
            Self::Load(server, version) => write!(f, "load {server} {version}"),
            Self::Weights(version) => write!(f, "weights {version}"),
            Self::Restart => f.write_str("restart"),
            Self::Cut(zone) => write!(f, "cut {zone}"),
            Self::Heal(zone) => write!(f, "heal {zone}"),
            Self::PlatformDown => f.write_str("platform down"),
            Self::PlatformUp => f.write_str("platform up"),
        }
    }
}
