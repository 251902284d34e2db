//! Tests of bounds, known shortfalls and violation counts.

use azureway_core::prelude::{LeastLoaded, Policy, PrefixHash, RoundRobin};
use azureway_dev::outcome::{KnownShortfalls, Outcomes};
use azureway_dev::replay::{Summary, Tally, Violations};
use googletest::prelude::*;

/// Returns the summaries of a product that is better than one baseline and worse than another.
fn summaries() -> Vec<Summary> {
    let summary = |policy, hit_rate, retries| Summary {
        hit_rate,
        retries,
        ..Summary::new(policy, &Tally::new())
    };
    vec![
        summary("product", 50.0, 3),
        summary(RoundRobin::NAME, 40.0, 3),
        summary(PrefixHash::NAME, 60.0, 4),
    ]
}

#[gtest]
fn bounds_compare_with_numbers_baselines_and_measures() {
    let cases: [(&str, &[&str]); 8] = [
        ("hit >= 50", &[]),
        ("hit >= 50.5", &["hit is 50.0, not >= 50.5 (the bound)"]),
        (
            "hit >= baselines",
            &["hit is 50.0, not >= 60.0 (prefix-hash)"],
        ),
        ("retries <= baselines", &[]),
        (
            "retries < baselines",
            &["retries is 3.0, not < 3.0 (round-robin)"],
        ),
        ("hit >= 51 or 50", &[]),
        (
            "hit >= 51 or 50.5",
            &["hit is 50.0, not >= 51.0 (the bound)"],
        ),
        (
            "hit <= retries # reason",
            &["hit is 50.0, not <= 3.0 (retries)"],
        ),
    ];
    for (bound, expected) in cases {
        let outcomes: Outcomes = bound.parse().expect(bound);
        let found = outcomes.check(&summaries());
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        expect_that!(found, eq(expected), "{bound}");
    }
}

#[gtest]
fn invalid_bounds_are_rejected() {
    for bound in [
        "hit",
        "hit >= often",
        "luck >= 1",
        "hit = 1",
        "hit >= 1 2",
        "hit >= 1 or",
    ] {
        let outcomes: anyhow::Result<Outcomes> = bound.parse();
        expect_that!(outcomes.is_err(), eq(true), "{bound}");
    }
}

#[gtest]
fn only_listed_shortfalls_of_the_same_trace_are_known() {
    let listed = "replay crash: hit wasted\n  seen: hit 50\nreplay cut: retries\n";
    let outcomes: Outcomes = "hit >= 51\nretries < 3".parse().expect("bounds");
    let shortfalls = outcomes.check(&summaries());
    let known = KnownShortfalls::for_trace("crash", listed);
    expect_that!(
        shortfalls
            .iter()
            .map(|s| known.contains(s))
            .collect::<Vec<_>>(),
        eq(&vec![true, false])
    );
    let resolved: Vec<String> = known
        .resolved(&shortfalls)
        .iter()
        .map(ToString::to_string)
        .collect();
    expect_that!(resolved, eq(&vec!["wasted".to_owned()]));
}

#[gtest]
fn violations_of_all_guarantees_are_added_up() {
    let mut all = Violations {
        duplicate_runs: 1,
        false_refusals: 1,
        wrong_lengths: 1,
        unanswered: 1,
        salt_mismatches: 1,
        late_dispatches: 1,
    };
    expect_that!(all.total(), eq(6));
    all.merge(&all.clone());
    expect_that!(all.total(), eq(12));
}

#[gtest]
fn request_without_a_token_counts_as_the_slowest() {
    let text = "seed 1\nzones a\nregions r\nengines 1\naccounts x\nblocks 4\nlink 1\nlevel h 100\n0 crash a-engine-1 900000\n1 ask x advice 1 1000 5 h 10\n";
    let trace = text.parse().expect("a trace");
    let tally = azureway_dev::replay::replay_trace::<LeastLoaded>(&trace);
    let summary = Summary::new("p", &tally);
    expect_that!(summary.urgent_ttft, eq([None, None, None]));
    expect_that!(summary.refusals, eq(1));
}
