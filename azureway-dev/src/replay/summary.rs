//! Computes the measures of a replay from its counts.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::Rank;
use serde::Serialize;

use super::{Loss, RequestLog, Tally, Violations};

/// The measures of a replay. Shares are in percent and times in milliseconds. A percentile is
/// `None` if the request at its rank got no token.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The name of the policy.
    pub policy: &'static str,
    /// The number of requests.
    pub requests: u64,
    /// The share of prompt tokens that were found in a cache.
    #[serde(rename = "hit")]
    pub hit_rate: f64,
    /// The number of prompt tokens that were computed although another engine had them cached.
    #[serde(rename = "wasted")]
    pub recomputed: u64,
    /// The 50th, 95th and 99th percentile of the time to first token of urgent requests.
    #[serde(rename = "urgent")]
    pub urgent_ttft: [Option<u64>; 3],
    /// The 50th, 95th and 99th percentile of the time to first token of drafting requests.
    #[serde(rename = "drafting")]
    pub drafting_ttft: [Option<u64>; 3],
    /// The 95th percentile of the time between consecutive tokens.
    #[serde(rename = "gap")]
    pub token_gap: u64,
    /// The share of requests answered on time, by kind.
    #[serde(rename = "kinds")]
    pub kind_timely: BTreeMap<&'static str, f64>,
    /// The share of the total worth that was answered on time.
    #[serde(rename = "worth")]
    pub worth_timely: f64,
    /// The share of urgent requests answered on time.
    #[serde(rename = "timely")]
    pub urgent_timely: f64,
    /// The share of drafting requests answered on time.
    #[serde(rename = "drafted")]
    pub drafting_timely: f64,
    /// The share of drafting requests in the tokens of finished requests.
    #[serde(rename = "kept")]
    pub drafting_share: f64,
    /// The share answered on time of the account with the most requested tokens.
    #[serde(rename = "largest")]
    pub largest_timely: f64,
    /// The lowest share answered on time of an account that requests fewer tokens than average.
    #[serde(rename = "smallest")]
    pub smallest_timely: f64,
    /// The traffic to and from other regions, in kilobytes.
    #[serde(rename = "crossed")]
    pub region_traffic: u64,
    /// The number of retries.
    pub retries: u64,
    /// The number of refused requests.
    pub refusals: u64,
    /// The number of engine crashes that a request caused.
    #[serde(rename = "poisoned")]
    pub poison_crashes: u64,
    /// The violations of guarantees.
    #[serde(rename = "promises")]
    pub violations: Violations,
    /// The weighted loss of Smučarski Vosek, from 0 to 100.
    #[serde(rename = "vosek")]
    pub vosek_loss: f64,
    /// The weighted loss of Corchos, from 0 to 100.
    #[serde(rename = "corchos")]
    pub corchos_loss: f64,
}

/// The largest share, in percent.
const FULL_PERCENT: f64 = 100.0;
/// The percentiles of the time to first token, in per mille.
const PERCENTILES: [usize; 3] = [500, 950, 990];
/// The number of bytes in a kilobyte.
const KILOBYTE: u64 = 1_000;

impl Summary {
    /// Summarises the counts of a replay.
    pub fn new(policy: &'static str, tally: &Tally) -> Self {
        let logs: Vec<&RequestLog> = tally.logs.values().collect();
        let of_rank = |rank| logs.iter().copied().filter(move |log| log.rank() == rank);
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
            worth_timely: timely_share(all(), |log| log.worth),
            urgent_timely: timely_share(of_rank(Rank::Urgent), |_| 1),
            drafting_timely: timely_share(of_rank(Rank::Drafting), |_| 1),
            drafting_share: drafting_share(&logs),
            largest_timely,
            smallest_timely,
            region_traffic: tally.region_bytes / KILOBYTE,
            retries: all()
                .map(|log| u64::from(log.attempts.saturating_sub(1)))
                .sum(),
            refusals: all().filter(|log| log.refusal.is_some()).count() as u64,
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

/// Returns `part` of `whole` in percent, or 100 if `whole` is 0.
fn percentage(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        FULL_PERCENT
    } else {
        part as f64 / whole as f64 * FULL_PERCENT
    }
}

/// Returns the weighted share of the requests that were answered on time.
fn timely_share<'a>(
    logs: impl Iterator<Item = &'a RequestLog>,
    weight: impl Fn(&RequestLog) -> u64,
) -> f64 {
    let add = |(timely, all): (u64, u64), log: &RequestLog| {
        let weight = weight(log);
        (timely + weight * u64::from(log.is_on_time()), all + weight)
    };
    let (timely, all) = logs.fold((0, 0), add);
    percentage(timely, all)
}

/// Returns the percentiles of the time to first token. A request without a token counts as the
/// slowest, unless it was refused only because the platform was down.
fn ttft_percentiles<'a>(logs: impl Iterator<Item = &'a RequestLog>) -> [Option<u64>; 3] {
    let millis = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
    let runnable = logs.filter(|log| !log.is_unclaimed());
    let mut times: Vec<u64> = runnable
        .map(|log| log.ttft.map_or(u64::MAX, millis))
        .collect();
    times.sort_unstable();
    PERCENTILES.map(|p| percentile(&times, p).filter(|t| *t < u64::MAX))
}

fn token_gap(logs: &[&RequestLog]) -> u64 {
    let mut gaps: Vec<u64> = logs.iter().flat_map(|log| &log.gaps).copied().collect();
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
    let served = logs.iter().filter(|log| log.finished);
    let (drafting, all) = served.fold((0, 0), |(drafting, all), log| {
        let drafted = if log.rank() == Rank::Drafting {
            log.total_tokens
        } else {
            0
        };
        (drafting + drafted, all + log.total_tokens)
    });
    percentage(drafting, all)
}

/// Returns the share on time of the account with the most requested tokens, and the lowest share
/// of the accounts that request fewer tokens than average.
fn account_timely(logs: &[&RequestLog]) -> (f64, f64) {
    let mut accounts: BTreeMap<&str, Vec<&RequestLog>> = BTreeMap::new();
    for log in logs {
        accounts.entry(&log.account).or_default().push(log);
    }
    let requested = |of: &[&RequestLog]| of.iter().map(|log| log.total_tokens).sum::<u64>();
    let timely = |of: &[&RequestLog]| timely_share(of.iter().copied(), |_| 1);
    let average = requested(logs) / (accounts.len() as u64).max(1);
    let largest = accounts.values().max_by_key(|of| requested(of));
    let below_average = accounts.values().filter(|of| requested(of) < average);
    let least = below_average
        .map(|of| timely(of))
        .fold(FULL_PERCENT, f64::min);
    (largest.map_or(FULL_PERCENT, |of| timely(of)), least)
}
