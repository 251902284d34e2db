//! The cases that traces are generated for.

use std::fmt;

/// A case that a trace is generated for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// A base load without bursts or faults.
    PlainMorning,
    /// A snow report becomes a hot prefix, and then another one replaces it.
    SnowReport,
    /// More prefixes are in use than fit into the caches.
    Eviction,
    /// A burst of drafting requests.
    DraftingFlood,
    /// A burst of urgent requests.
    UrgentFlood,
    /// A burst of requests of one account.
    LargeAccount,
    /// Engines crash and restart with empty caches.
    Crash,
    /// The entry restarts and loses its state.
    Restart,
    /// A new weights version is rolled out.
    Rollout,
    /// A request that crashes every engine which runs it is sent repeatedly.
    Poison,
    /// The links to the other zones are cut for a time.
    Cut,
    /// The platform is down for the whole trace, and the entry restarts.
    PlatformAway,
    /// The zones are in different regions, with a small burst of urgent requests.
    Regions,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 13] = [
        Self::PlainMorning,
        Self::SnowReport,
        Self::Eviction,
        Self::DraftingFlood,
        Self::UrgentFlood,
        Self::LargeAccount,
        Self::Crash,
        Self::Restart,
        Self::Rollout,
        Self::Poison,
        Self::Cut,
        Self::PlatformAway,
        Self::Regions,
    ];

    /// Returns the case with the given name.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|c| c.as_str() == text)
    }

    /// Returns the name, which is also the name of the trace file.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PlainMorning => "plain-morning",
            Self::SnowReport => "snow-report",
            Self::Eviction => "eviction",
            Self::DraftingFlood => "drafting-flood",
            Self::UrgentFlood => "urgent-flood",
            Self::LargeAccount => "large-account",
            Self::Crash => "crash",
            Self::Restart => "restart",
            Self::Rollout => "rollout",
            Self::Poison => "poison",
            Self::Cut => "cut",
            Self::PlatformAway => "platform-away",
            Self::Regions => "regions",
        }
    }

    /// Returns the seed of the committed trace.
    pub const fn seed(self) -> u64 {
        self as u64 + 1
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
