//! At-most-once execution over two entries, under single faults and pairs of faults.

#[path = "../support/mod.rs"]
mod support;
mod world;

use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{CallerResult, World};

fn apply(world: &mut World, step: &str) {
    let words: Vec<&str> = step.split_whitespace().collect();
    let at = |i: usize| usize::from(words[i] == "b");
    match words[0] {
        "send" => world.send(at(1), words[2], "body"),
        "other" => world.send(at(1), words[2], "another body"),
        "calls" => world.serve_calls(at(1)),
        "call" => drop(world.serve_call(at(1))),
        "lose" => world.lose_answer(at(1)),
        "late" => world.delay_write(at(1)),
        "land" => world.apply_delayed(),
        "cut" => world.set_cut_off(at(1), true),
        "heal" => world.set_cut_off(at(1), false),
        "finish" => world.end_attempt(at(1), None),
        "unsent" => world.end_attempt(at(1), Some(SendState::Unsent)),
        "maybe" => world.end_attempt(at(1), Some(SendState::MaybeRun)),
        "hang" => world.disconnect_caller(at(1)),
        "die" => world.crash(at(1)),
        "wait" => world.advance(words[1].parse().expect("milliseconds")),
        word => panic!("unknown step {word}"),
    }
}

fn describe(result: &CallerResult) -> String {
    match result {
        CallerResult::None => "none".to_owned(),
        CallerResult::Answer => "answer".to_owned(),
        CallerResult::Disconnected => "left".to_owned(),
        CallerResult::ReplayedAnswer => "repeat".to_owned(),
        CallerResult::Refused(refusal) => {
            let mark = if refusal.not_run { "+" } else { "" };
            format!("{}{mark}", refusal.reason.code())
        }
    }
}

/// Checks the invariants that must hold after every event.
fn check(world: &World) {
    for request in world.requests.values() {
        assert!(
            world.count_runs(&request.key) <= 1,
            "key {} ran twice",
            request.key
        );
        if let CallerResult::Refused(refusal) = &request.result {
            assert!(
                !(refusal.not_run && request.ran),
                "refused as not run, but it ran"
            );
            let duplicate = refusal.reason == RefusalReason::Duplicate;
            assert!(
                !(duplicate && refusal.not_run),
                "a duplicate refused as not run"
            );
        }
        if request.result == CallerResult::ReplayedAnswer {
            assert_eq!(
                world.count_runs(&request.key),
                1,
                "a replayed answer without a run"
            );
        }
    }
}

#[gtest]
fn every_row_of_the_table_holds() {
    for row in include_str!("../../testdata/claims.txt").lines() {
        if row.starts_with('#') {
            continue;
        }
        let columns: Vec<&str> = row.split('|').map(str::trim).collect();
        let mut world = World::new();
        for step in columns[2].split(';') {
            apply(&mut world, step);
            check(&world);
        }
        let mut requests: Vec<_> = world.requests.iter().collect();
        requests.sort_by_key(|(id, _)| id.sequence());
        let results: Vec<_> = requests.iter().map(|(_, r)| describe(&r.result)).collect();
        expect_that!(world.count_runs("k").to_string(), eq(columns[3]), "{row}");
        expect_that!(results.join(" "), eq(columns[4]), "{row}");
    }
}

#[gtest]
fn an_outage_opens_the_circuit_breaker() {
    let mut world = World::new();
    apply(&mut world, "cut a");
    for second in 0..600 {
        for part in 0..5 {
            world.send(0, &format!("key-{second}-{part}"), "body");
            world.serve_calls(0);
            world.advance(200);
        }
    }
    // Three failures open the breaker. Then there is at most one claim per 2.5 s, of 4 calls each.
    expect_that!(world.call_count, le((3 + 600 * 10 / 25 + 10) * 4));
    expect_that!(
        world
            .requests
            .values()
            .all(|r| describe(&r.result) == "claim_unavailable+"),
        eq(true)
    );
    apply(&mut world, "heal a");
    world.advance(5_000);
    world.send(0, "after", "body");
    world.serve_calls(0);
    world.end_attempt(0, None);
    let after = world.requests.values().find(|r| r.key == "after");
    expect_that!(after.map(|r| describe(&r.result)), some(eq("answer")));
}

/// The steps to choose from at random. Calls are served one by one, so that entries interleave.
const STEPS: [&str; 23] = [
    "send a k",
    "send b k",
    "send a k",
    "send b k",
    "call a",
    "call b",
    "call a",
    "call b",
    "call a",
    "call b",
    "finish a",
    "finish b",
    "unsent a",
    "unsent b",
    "maybe a",
    "maybe b",
    "lose a",
    "lose b",
    "hang a",
    "hang b",
    "wait 700",
    "wait 3001",
    "land",
];
/// The faults to choose pairs from at random.
const FAULTS: [&str; 10] = [
    "cut a", "cut b", "heal a", "heal b", "late a", "late b", "die a", "lose a", "lose b", "land",
];
/// The seed of the random cases.
const SEED: [u8; 32] = [17; 32];

#[gtest]
fn no_key_runs_twice_under_any_pair_of_faults() {
    let config = Config {
        cases: 4_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let steps = prop::collection::vec(prop::sample::select(&STEPS[..]), 10..60);
    let fault = || (0..60_usize, prop::sample::select(&FAULTS[..]));
    let result = TestRunner::new_with_rng(config, rng).run(
        &(steps, fault(), fault()),
        |(mut steps, first, second)| {
            for (index, fault) in [first, second] {
                steps.insert(index.min(steps.len()), fault);
            }
            let mut world = World::new();
            for step in steps {
                apply(&mut world, step);
                check(&world);
            }
            Ok(())
        },
    );
    expect_that!(result, ok(anything()));
}
