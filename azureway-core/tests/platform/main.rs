//! Tests of the rate of calls to the platform and of the time until a version is in force, under
//! faults.

mod simulation;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{PlatformState, Simulation};

/// The time that a case runs after its last event.
const TAIL: Duration = Duration::from_secs(120);

fn apply(simulation: &mut Simulation, event: &str) {
    let words: Vec<&str> = event.split_whitespace().collect();
    match words[0] {
        "up" => simulation.set_state(PlatformState::Up),
        "out" => simulation.set_state(PlatformState::Out),
        "slow" => simulation.set_state(PlatformState::Slow),
        "limit" => simulation.set_state(PlatformState::Limit(words[1].parse().expect("a rate"))),
        "change" => simulation.change(),
        "restart" => simulation.restart(),
        word => panic!("unknown event {word}"),
    }
}

/// Runs a case. Returns the largest number of calls in any second, and the seconds from the last
/// event until the newest version was in force everywhere.
fn run(script: &str) -> (u32, Option<f64>) {
    let mut simulation = Simulation::new();
    for event in script.split(';').map(str::trim) {
        let (second, event) = event.split_once(' ').expect("a second and an event");
        let second: u64 = second.parse().expect("a second");
        simulation.run(Timestamp::from_millis(second * 1_000));
        apply(&mut simulation, event);
    }
    let last = simulation.now;
    let done = simulation.run(last + TAIL);
    assert_that!(simulation.outdated(), is_empty());
    let most = simulation.calls.values().copied().max().unwrap_or(0);
    (most, done.map(|t| t.since(last).as_secs_f64()))
}

#[gtest]
fn calls_and_times_stay_within_the_bounds_of_the_table() {
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

/// The rate of reads that the platform accepts, in calls per second.
const READ_RATE: u32 = 2_000;
/// The time within which a version must be in force everywhere, in seconds.
const IN_FORCE: f64 = 10.0;
/// The faults from which pairs are drawn.
const FAULTS: [&str; 6] = ["out", "slow", "limit 20", "limit 200", "restart", "change"];
/// The seed of the drawn cases.
const SEED: [u8; 32] = [31; 32];

#[gtest]
fn calls_and_time_stay_within_bounds_after_two_faults() {
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
