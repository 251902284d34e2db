//! The measures of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::Rank;
use serde::Serialize;

use super::{Loss, RequestLog, Tally, Violations};

/// The measures of a replay. Shares are in percent, and times in milliseconds; a time that
/// is `None` was never reached, since the request of that place got no token.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The policy.
    pub policy: &'static str,
    /// The requests.
    pub requests: u64,
    /// The share of prompt tokens that were found in a cache.
    #[serde(rename = "hit")]
    pub hit_rate: f64,
    /// The prompt tokens that were computed while another engine held them.
    #[serde(rename = "wasted")]
    pub recomputed: u64,
    /// The 50th, 95th and 99th percentile of the time to first token of urgent work.
    #[serde(rename = "urgent")]
    pub urgent_ttft: [Option<u64>; 3],
    /// The same of drafting.
    #[serde(rename = "drafting")]
    pub drafting_ttft: [Option<u64>; 3],
    /// The 95th percentile of the time between two tokens.
    #[serde(rename = "gap")]
    pub token_gap: u64,
    /// The share of requests answered on time, by kind.
    #[serde(rename = "kinds")]
    pub kind_timely: BTreeMap<&'static str, f64>,
    /// The share of the worth that was answered on time.
    #[serde(rename = "worth")]
    pub worth_timely: f64,
    /// The share of urgent requests answered on time.
    #[serde(rename = "timely")]
    pub urgent_timely: f64,
    /// The share of drafting requests answered on time.
    #[serde(rename = "drafted")]
    pub drafting_timely: f64,
    /// The share of drafting in the tokens that were served.
    #[serde(rename = "kept")]
    pub drafting_share: f64,
    /// The share answered on time of the account that asks for the most.
    #[serde(rename = "largest")]
    pub largest_timely: f64,
    /// The least share answered on time of an account that asks for less than an even part.
    #[serde(rename = "smallest")]
    pub smallest_timely: f64,
    /// The kilobytes that went to and came from another region.
    #[serde(rename = "crossed")]
    pub region_traffic: u64,
    /// The retries.
    pub retries: u64,
    /// The refusals.
    pub refusals: u64,
    /// The engines that crashed by a request.
    #[serde(rename = "poisoned")]
    pub poison_crashes: u64,
    /// The promises that were broken.
    #[serde(rename = "promises")]
    pub violations: Violations,
    /// The weighted loss of Smučarski Vosek.
    #[serde(rename = "vosek")]
    pub vosek_loss: f64,
    /// The weighted loss of Corchos.
    #[serde(rename = "corchos")]
    pub corchos_loss: f64,
}

/// The whole, in percent.
const FULL_PERCENT: f64 = 100.0;
/// The percentiles of the time to first token, per mille.
const PERCENTILES: [usize; 3] = [500, 950, 990];
/// The bytes of a kilobyte.
const KILOBYTE: u64 = 1_000;

impl Summary {
    /// Sums a replay up.
    pub fn new(policy: &'static str, tally: &Tally) -> Self {
        let logs: Vec<&RequestLog> = tally.logs.values().collect();
        let of_rank = |rank| logs.iter().copied().filter(move |s| s.rank() == rank);
        let all = || logs.iter().copied();
        let (largest_timely, smallest_timely) = account_timely(&logs);
        let mut summary = Self {
            policy,
            requests: logs.len() as u64,
            hit_rate: percentage(tally.cached_tokens, tally.prompt_tokens),
            recomputed: tally.recomputed,
            urgent_ttft: ttft_percentiles(of_rank(Rank::Urgent)),
            drafting_ttft: ttft_percentiles(of_rank(Rank::Drafting)),
            token_gap: token_gap(&logs),
            kind_timely: kind_timely(&logs),
            worth_timely: timely_share(all(), |s| s.worth),
            urgent_timely: timely_share(of_rank(Rank::Urgent), |_| 1),
            drafting_timely: timely_share(of_rank(Rank::Drafting), |_| 1),
            drafting_share: drafting_share(&logs),
            largest_timely,
            smallest_timely,
            region_traffic: tally.region_bytes / KILOBYTE,
            retries: all().map(|s| u64::from(s.attempts.saturating_sub(1))).sum(),
            refusals: all().filter(|s| s.refusal.is_some()).count() as u64,
            poison_crashes: tally.poison_crashes,
            violations: tally.violations,
            vosek_loss: 0.0,
            corchos_loss: 0.0,
        };
        summary.vosek_loss = Loss::new(&summary).vosek();
        summary.corchos_loss = Loss::new(&summary).corchos();
        summary
    }
}

/// Returns `part` of `whole` in percent; all of nothing is 100.
fn percentage(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        FULL_PERCENT
    } else {
        part as f64 / whole as f64 * FULL_PERCENT
    }
}

/// Returns the share of the logs on time, weighted.
fn timely_share<'a>(
    logs: impl Iterator<Item = &'a RequestLog>,
    weight: impl Fn(&RequestLog) -> u64,
) -> f64 {
    let add = |(timely, all): (u64, u64), s: &RequestLog| {
        let weight = weight(s);
        (timely + weight * u64::from(s.is_on_time()), all + weight)
    };
    let (timely, all) = logs.fold((0, 0), add);
    percentage(timely, all)
}

/// Returns the percentiles of the time to first token; a request without one counts as worst,
/// unless the platform's absence alone kept it from being run.
fn ttft_percentiles<'a>(logs: impl Iterator<Item = &'a RequestLog>) -> [Option<u64>; 3] {
    let millis = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
    let runnable = logs.filter(|s| !s.is_unclaimed());
    let mut times: Vec<u64> = runnable.map(|s| s.ttft.map_or(u64::MAX, millis)).collect();
    times.sort_unstable();
    PERCENTILES.map(|p| percentile(&times, p).filter(|t| *t < u64::MAX))
}

fn token_gap(logs: &[&RequestLog]) -> u64 {
    let mut gaps: Vec<u64> = logs.iter().flat_map(|s| &s.gaps).copied().collect();
    gaps.sort_unstable();
    percentile(&gaps, PERCENTILES[1]).unwrap_or(0)
}

fn percentile(sorted: &[u64], per_mille: usize) -> Option<u64> {
    let rank = (sorted.len() * per_mille).div_ceil(1_000);
    sorted.get(rank.saturating_sub(1)).copied()
}

fn kind_timely(logs: &[&RequestLog]) -> BTreeMap<&'static str, f64> {
    let mut kinds: BTreeMap<&'static str, Vec<&RequestLog>> = BTreeMap::new();
    for log in logs {
        kinds.entry(log.kind.as_str()).or_default().push(log);
    }
    let shares = kinds.into_iter();
    shares
        .map(|(kind, of_kind)| (kind, timely_share(of_kind.into_iter(), |_| 1)))
        .collect()
}

fn drafting_share(logs: &[&RequestLog]) -> f64 {
    let served = logs.iter().filter(|s| s.finished);
    let (drafting, all) = served.fold((0, 0), |(drafting, all), s| {
        let drafted = if s.rank() == Rank::Drafting {
            s.total_tokens
        } else {
            0
        };
        (drafting + drafted, all + s.total_tokens)
    });
    percentage(drafting, all)
}

/// Returns the share on time of the account that asks for the most, and the least share of
/// those that ask for less than an even part.
fn account_timely(logs: &[&RequestLog]) -> (f64, f64) {
    let mut accounts: BTreeMap<&str, Vec<&RequestLog>> = BTreeMap::new();
    for log in logs {
        accounts.entry(&log.account).or_default().push(log);
    }
    let cost = |of: &[&RequestLog]| of.iter().map(|s| s.total_tokens).sum::<u64>();
    let timely = |of: &[&RequestLog]| timely_share(of.iter().copied(), |_| 1);
    let even = cost(logs) / (accounts.len() as u64).max(1);
    let largest = accounts.values().max_by_key(|of| cost(of));
    let small = accounts.values().filter(|of| cost(of) < even);
    let least = small.map(|of| timely(of)).fold(FULL_PERCENT, f64::min);
    (largest.map_or(FULL_PERCENT, |of| timely(of)), least)
}
