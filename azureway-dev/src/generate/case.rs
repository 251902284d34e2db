//! The cases that traces are made for.

use std::fmt;

/// A case that a trace is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// A plain morning.
    PlainMorning,
    /// The snow report turns hot, and then another one does.
    SnowReport,
    /// More prefixes are in use than the caches hold.
    Eviction,
    /// Drafting floods in.
    DraftingFlood,
    /// Urgent work floods in.
    UrgentFlood,
    /// One account asks for far more than the rest.
    LargeAccount,
    /// Engines crash and come back empty.
    Crash,
    /// The entry restarts.
    Restart,
    /// New weights are rolled out.
    Rollout,
    /// A request crashes each engine that runs it, and its caller sends it again.
    Poison,
    /// The other zones are cut off.
    Cut,
    /// The platform is away for the whole trace, and the entry restarts.
    PlatformAway,
    /// The other zones stand in other regions, and some urgent work comes on top.
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

    /// Returns the case that `text` names.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|c| c.as_str() == text)
    }

    /// Returns the name.
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
