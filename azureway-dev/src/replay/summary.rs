//! The measures of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::Rank;
use serde::Serialize;

use super::{Loss, Promises, RequestLog, Tally};

/// The measures of a replay. Shares are in percent, and times in milliseconds; a time that
/// is `None` was never reached, since the request of that place got no token.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The policy.
    pub policy: &'static str,
    /// The requests.
    pub requests: u64,
    /// The share of prompt tokens that were found in a cache.
    pub hit: f64,
    /// The prompt tokens that were computed while another engine held them.
    pub wasted: u64,
    /// The 50th, 95th and 99th percentile of the time to first token of urgent work.
    pub urgent: [Option<u64>; 3],
    /// The same of drafting.
    pub drafting: [Option<u64>; 3],
    /// The 95th percentile of the time between two tokens.
    pub gap: u64,
    /// The share of requests answered on time, by kind.
    pub kinds: BTreeMap<&'static str, f64>,
    /// The share of the worth that was answered on time.
    pub worth: f64,
    /// The share of urgent requests answered on time.
    pub timely: f64,
    /// The share of drafting requests answered on time.
    pub drafted: f64,
    /// The share of drafting in the tokens that were served.
    pub kept: f64,
    /// The share answered on time of the account that asks for the most.
    pub largest: f64,
    /// The least share answered on time of an account that asks for less than an even part.
    pub smallest: f64,
    /// The kilobytes that went to and came from another region.
    pub crossed: u64,
    /// The retries.
    pub retries: u64,
    /// The refusals.
    pub refusals: u64,
    /// The engines that crashed by a request.
    pub poisoned: u64,
    /// The promises that were broken.
    pub promises: Promises,
    /// The weighted loss of Smučarski Vosek.
    pub vosek: f64,
    /// The weighted loss of Corchos.
    pub corchos: f64,
}

/// The whole, in percent.
const WHOLE: f64 = 100.0;
/// The percentiles of the time to first token, in a thousandth.
const PERCENTILES: [usize; 3] = [500, 950, 990];
/// The bytes of a kilobyte.
const KILOBYTE: u64 = 1_000;

impl Summary {
    /// Sums a replay up.
    pub fn new(policy: &'static str, tally: &Tally) -> Self {
        let stories: Vec<&RequestLog> = tally.stories.values().collect();
        let of_rank = |rank| stories.iter().copied().filter(move |s| s.rank() == rank);
        let all = || stories.iter().copied();
        let (largest, smallest) = accounts(&stories);
        let mut summary = Self {
            policy,
            requests: stories.len() as u64,
            hit: share(tally.cached, tally.prompt),
            wasted: tally.wasted,
            urgent: first_tokens(of_rank(Rank::Urgent)),
            drafting: first_tokens(of_rank(Rank::Drafting)),
            gap: gap(&stories),
            kinds: kinds(&stories),
            worth: weighted(all(), |s| s.worth),
            timely: weighted(of_rank(Rank::Urgent), |_| 1),
            drafted: weighted(of_rank(Rank::Drafting), |_| 1),
            kept: kept(&stories),
            largest,
            smallest,
            crossed: tally.crossed / KILOBYTE,
            retries: all().map(|s| u64::from(s.tries.saturating_sub(1))).sum(),
            refusals: all().filter(|s| s.refused.is_some()).count() as u64,
            poisoned: tally.poisoned,
            promises: tally.promises,
            vosek: 0.0,
            corchos: 0.0,
        };
        summary.vosek = Loss::new(&summary).vosek();
        summary.corchos = Loss::new(&summary).corchos();
        summary
    }
}

/// Returns `part` of `whole` in percent; all of nothing is 100.
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        WHOLE
    } else {
        part as f64 / whole as f64 * WHOLE
    }
}

/// Returns the share of the stories on time, weighted.
fn weighted<'a>(
    stories: impl Iterator<Item = &'a RequestLog>,
    weight: impl Fn(&RequestLog) -> u64,
) -> f64 {
    let add = |(good, all): (u64, u64), s: &RequestLog| {
        let weight = weight(s);
        (good + weight * u64::from(s.is_on_time()), all + weight)
    };
    let (good, all) = stories.fold((0, 0), add);
    share(good, all)
}

/// Returns the percentiles of the time to first token; a request without one counts as worst,
/// unless the platform's absence alone kept it from being run.
fn first_tokens<'a>(stories: impl Iterator<Item = &'a RequestLog>) -> [Option<u64>; 3] {
    let millis = |t: Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
    let able = stories.filter(|s| !s.is_unclaimed());
    let mut times: Vec<u64> = able.map(|s| s.first.map_or(u64::MAX, millis)).collect();
    times.sort_unstable();
    PERCENTILES.map(|p| percentile(&times, p).filter(|t| *t < u64::MAX))
}

fn gap(stories: &[&RequestLog]) -> u64 {
    let mut gaps: Vec<u64> = stories.iter().flat_map(|s| &s.gaps).copied().collect();
    gaps.sort_unstable();
    percentile(&gaps, PERCENTILES[1]).unwrap_or(0)
}

fn percentile(sorted: &[u64], thousandth: usize) -> Option<u64> {
    let place = (sorted.len() * thousandth).div_ceil(1_000);
    sorted.get(place.saturating_sub(1)).copied()
}

fn kinds(stories: &[&RequestLog]) -> BTreeMap<&'static str, f64> {
    let mut kinds: BTreeMap<&'static str, Vec<&RequestLog>> = BTreeMap::new();
    for story in stories {
        kinds.entry(story.kind.as_str()).or_default().push(story);
    }
    let shares = kinds.into_iter();
    shares
        .map(|(kind, of_kind)| (kind, weighted(of_kind.into_iter(), |_| 1)))
        .collect()
}

fn kept(stories: &[&RequestLog]) -> f64 {
    let served = stories.iter().filter(|s| s.finished);
    let (drafting, all) = served.fold((0, 0), |(drafting, all), s| {
        let drafted = if s.rank() == Rank::Drafting {
            s.cost
        } else {
            0
        };
        (drafting + drafted, all + s.cost)
    });
    share(drafting, all)
}

/// Returns the share on time of the account that asks for the most, and the least share of
/// those that ask for less than an even part.
fn accounts(stories: &[&RequestLog]) -> (f64, f64) {
    let mut accounts: BTreeMap<&str, Vec<&RequestLog>> = BTreeMap::new();
    for story in stories {
        accounts.entry(&story.account).or_default().push(story);
    }
    let cost = |of: &[&RequestLog]| of.iter().map(|s| s.cost).sum::<u64>();
    let timely = |of: &[&RequestLog]| weighted(of.iter().copied(), |_| 1);
    let even = cost(stories) / (accounts.len() as u64).max(1);
    let largest = accounts.values().max_by_key(|of| cost(of));
    let small = accounts.values().filter(|of| cost(of) < even);
    let least = small.map(|of| timely(of)).fold(WHOLE, f64::min);
    (largest.map_or(WHOLE, |of| timely(of)), least)
}
