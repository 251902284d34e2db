//! The platform's rate and the time until a version is in force, under faults.

mod crowd;

use std::time::Duration;

use azureway_core::prelude::*;
use crowd::{Crowd, Mood};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// How long a case goes on after its last event.
const TAIL: Duration = Duration::from_secs(120);

fn apply(crowd: &mut Crowd, event: &str) {
    let words: Vec<&str> = event.split_whitespace().collect();
    match words[0] {
        "up" => crowd.set_mood(Mood::Up),
        "out" => crowd.set_mood(Mood::Out),
        "slow" => crowd.set_mood(Mood::Slow),
        "limit" => crowd.set_mood(Mood::Limit(words[1].parse().expect("a rate"))),
        "change" => crowd.change(),
        "restart" => crowd.restart(),
        word => panic!("unknown event {word}"),
    }
}

/// Runs a case. Returns the most calls of any second, and the seconds from the last event until
/// the newest version was in force everywhere.
fn run(script: &str) -> (u32, Option<f64>) {
    let mut crowd = Crowd::new();
    for event in script.split(';').map(str::trim) {
        let (second, event) = event.split_once(' ').expect("a second and an event");
        let second: u64 = second.parse().expect("a second");
        crowd.run(Timestamp::from_millis(second * 1_000));
        apply(&mut crowd, event);
    }
    let last = crowd.now;
    let done = crowd.run(last + TAIL);
    assert_that!(crowd.behind(), is_empty());
    let most = crowd.calls.values().copied().max().unwrap_or(0);
    (most, done.map(|t| t.since(last).as_secs_f64()))
}

#[gtest]
fn every_row_of_the_table_holds() {
    for row in include_str!("../../testdata/platform.txt").lines() {
        if row.starts_with('#') {
            continue;
        }
        let columns: Vec<&str> = row.split('|').map(str::trim).collect();
        let (most, time) = run(columns[2]);
        println!(
            "{most} calls in a second, in force after {time:?} s: {}",
            columns[1]
        );
        expect_that!(most, le(columns[3].parse().expect("calls")), "{row}");
        expect_that!(
            time,
            some(le(columns[4].parse().expect("seconds"))),
            "{row}"
        );
    }
}

/// The rate of reads that the platform takes, as the brief states it.
const READ_RATE: u32 = 2_000;
/// The time in which a version is in force everywhere, as the letter states it, in seconds.
const IN_FORCE: f64 = 10.0;
/// The faults that are drawn in pairs.
const FAULTS: [&str; 6] = ["out", "slow", "limit 20", "limit 200", "restart", "change"];
/// The seed of the drawn cases.
const SEED: [u8; 32] = [31; 32];

#[gtest]
fn two_faults_together_hold_the_rate_and_the_time_after_their_end() {
    let config = Config {
        cases: 48,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let fault = || prop::sample::select(&FAULTS[..]);
    let cases = (fault(), 0..90_u64, fault(), 1..90_u64, 1..90_u64);
    let result = TestRunner::new_with_rng(config, rng).run(&cases, |(one, at, two, gap, rest)| {
        let (second, end) = (at + gap, at + gap + rest);
        let script = format!("{at} {one}; {second} {two}; {second} change; {end} up");
        let (most, time) = run(&script);
        prop_assert!(most <= READ_RATE, "{most} calls in a second");
        prop_assert!(
            time.is_some_and(|t| t <= IN_FORCE),
            "in force after {time:?}"
        );
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
