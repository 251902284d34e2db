//! Faults and operations of a trace.

use std::fmt;

/// A fault or an operation that a trace applies to the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incident {
    /// An engine crashes and restarts with an empty cache after a time in milliseconds.
    Crash(String, u64),
    /// An engine starts to drain: it reports that it is leaving.
    Leave(String),
    /// An engine starts to load a weights version.
    Load(String, u64),
    /// The configuration changes to a weights version.
    Weights(u64),
    /// The entry restarts and loses its state.
    Restart,
    /// The link between the zone of the entry and another zone fails.
    Cut(String),
    /// The link to another zone works again.
    Heal(String),
    /// The platform stops answering calls.
    PlatformDown,
    /// The platform answers calls again.
    PlatformUp,
}

impl Incident {
    /// Parses an incident from the words of a record, or returns `None` if they name none.
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
