//! The names of the measures in outcome files and reports, and their values in a summary.

use std::fmt;

use crate::replay::Summary;

/// A measure of a replay, for which a bound can be stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// The percentage of prompt tokens that were found in a cache.
    Hit,
    /// The number of prompt tokens that were computed although another engine had them cached.
    Recomputed,
    /// The median time to first token of urgent requests, in milliseconds.
    UrgentP50,
    /// The 95th percentile of the time to first token of urgent requests, in milliseconds.
    UrgentP95,
    /// The 99th percentile of the time to first token of urgent requests, in milliseconds.
    UrgentP99,
    /// The median time to first token of drafting requests, in milliseconds.
    DraftingP50,
    /// The 95th percentile of the time to first token of drafting requests, in milliseconds.
    DraftingP95,
    /// The 99th percentile of the time to first token of drafting requests, in milliseconds.
    DraftingP99,
    /// The 95th percentile of the time between two tokens of an answer, in milliseconds.
    GapP95,
    /// The percentage of urgent requests that were answered on time.
    UrgentOnTime,
    /// The percentage of drafting requests that were answered on time.
    DraftingOnTime,
    /// The percentage of the total worth that was answered on time.
    WorthOnTime,
    /// The percentage of the served tokens that belong to drafting requests.
    DraftingShare,
    /// The percentage answered on time for the account with the most requested tokens.
    LargeOnTime,
    /// The lowest percentage answered on time among the small accounts.
    SmallOnTime,
    /// The traffic between regions, in kilobytes.
    RegionTraffic,
    /// The number of retries.
    Retries,
    /// The number of refused requests.
    Refusals,
    /// The number of engine crashes that a request caused.
    PoisonCrashes,
    /// The number of violated guarantees.
    Violations,
    /// The weighted loss of the user Smučarski Vosek, from 0 to 100.
    VosekLoss,
    /// The weighted loss of the user Corchos, from 0 to 100.
    CorchosLoss,
}

/// The time to first token of a request that got no token, in milliseconds.
const NEVER: f64 = f64::INFINITY;

impl Measure {
    /// All measures.
    pub const ALL: [Self; 22] = [
        Self::Hit,
        Self::Recomputed,
        Self::UrgentP50,
        Self::UrgentP95,
        Self::UrgentP99,
        Self::DraftingP50,
        Self::DraftingP95,
        Self::DraftingP99,
        Self::GapP95,
        Self::UrgentOnTime,
        Self::DraftingOnTime,
        Self::WorthOnTime,
        Self::DraftingShare,
        Self::LargeOnTime,
        Self::SmallOnTime,
        Self::RegionTraffic,
        Self::Retries,
        Self::Refusals,
        Self::PoisonCrashes,
        Self::Violations,
        Self::VosekLoss,
        Self::CorchosLoss,
    ];

    /// Returns the measure with the given name.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|m| m.as_str() == text)
    }

    /// Returns the name in outcome files and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hit => "hit",
            Self::Recomputed => "wasted",
            Self::UrgentP50 => "urgent-p50",
            Self::UrgentP95 => "urgent-p95",
            Self::UrgentP99 => "urgent-p99",
            Self::DraftingP50 => "drafting-p50",
            Self::DraftingP95 => "drafting-p95",
            Self::DraftingP99 => "drafting-p99",
            Self::GapP95 => "gap-p95",
            Self::UrgentOnTime => "urgent-on-time",
            Self::DraftingOnTime => "drafting-on-time",
            Self::WorthOnTime => "worth-on-time",
            Self::DraftingShare => "drafting-kept",
            Self::LargeOnTime => "large-on-time",
            Self::SmallOnTime => "small-on-time",
            Self::RegionTraffic => "crossed",
            Self::Retries => "retries",
            Self::Refusals => "refusals",
            Self::PoisonCrashes => "poisoned",
            Self::Violations => "promises",
            Self::VosekLoss => "vosek-loss",
            Self::CorchosLoss => "corchos-loss",
        }
    }

    /// Returns the value of the measure in a summary.
    pub fn value(self, summary: &Summary) -> f64 {
        let time = |t: Option<u64>| t.map_or(NEVER, |t| t as f64);
        match self {
            Self::Hit => summary.hit_rate,
            Self::Recomputed => summary.recomputed as f64,
            Self::UrgentP50 => time(summary.urgent_ttft[0]),
            Self::UrgentP95 => time(summary.urgent_ttft[1]),
            Self::UrgentP99 => time(summary.urgent_ttft[2]),
            Self::DraftingP50 => time(summary.drafting_ttft[0]),
            Self::DraftingP95 => time(summary.drafting_ttft[1]),
            Self::DraftingP99 => time(summary.drafting_ttft[2]),
            Self::GapP95 => summary.token_gap as f64,
            Self::UrgentOnTime => summary.urgent_timely,
            Self::DraftingOnTime => summary.drafting_timely,
            Self::WorthOnTime => summary.worth_timely,
            Self::DraftingShare => summary.drafting_share,
            Self::LargeOnTime => summary.largest_timely,
            Self::SmallOnTime => summary.smallest_timely,
            Self::RegionTraffic => summary.region_traffic as f64,
            Self::Retries => summary.retries as f64,
            Self::Refusals => summary.refusals as f64,
            Self::PoisonCrashes => summary.poison_crashes as f64,
            Self::Violations => summary.violations.total() as f64,
            Self::VosekLoss => summary.vosek_loss,
            Self::CorchosLoss => summary.corchos_loss,
        }
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
