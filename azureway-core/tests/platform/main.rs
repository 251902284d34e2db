//! The platform's rate and the time until a version is in force, under faults.

mod crowd;

use std::time::Duration;

use azureway_core::prelude::*;
use crowd::{Crowd, Mood};
use googletest::prelude::*;

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
