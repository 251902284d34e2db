//! At most once, over two entries: the table of faults, and faults in pairs.

#[path = "../support/mod.rs"]
mod support;
mod world;

use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{Fate, World};

fn apply(world: &mut World, step: &str) {
    let words: Vec<&str> = step.split_whitespace().collect();
    let at = |i: usize| usize::from(words[i] == "b");
    match words[0] {
        "send" => world.send(at(1), words[2], "body"),
        "other" => world.send(at(1), words[2], "another body"),
        "calls" => world.calls(at(1)),
        "call" => drop(world.call(at(1))),
        "lose" => world.lose(at(1)),
        "late" => world.late(at(1)),
        "land" => world.land(),
        "cut" => world.cut(at(1), true),
        "heal" => world.cut(at(1), false),
        "finish" => world.end(at(1), None),
        "unsent" => world.end(at(1), Some(SendState::Unsent)),
        "maybe" => world.end(at(1), Some(SendState::MaybeRun)),
        "hang" => world.hang(at(1)),
        "die" => world.die(at(1)),
        "wait" => world.wait(words[1].parse().expect("milliseconds")),
        word => panic!("unknown step {word}"),
    }
}

fn describe(fate: &Fate) -> String {
    match fate {
        Fate::None => "none".to_owned(),
        Fate::Answer => "answer".to_owned(),
        Fate::Left => "left".to_owned(),
        Fate::Repeat => "repeat".to_owned(),
        Fate::Refused(refusal) => {
            let mark = if refusal.not_run { "+" } else { "" };
            format!("{}{mark}", refusal.reason.code())
        }
    }
}

/// What must hold after every event.
fn check(world: &World) {
    for sending in world.sendings.values() {
        assert!(
            world.runs(&sending.key) <= 1,
            "key {} ran twice",
            sending.key
        );
        if let Fate::Refused(refusal) = &sending.fate {
            assert!(!(refusal.not_run && sending.ran), "a false not run");
            let known = refusal.reason == RefusalReason::Duplicate;
            assert!(!(known && refusal.not_run), "a duplicate that says not run");
        }
        if sending.fate == Fate::Repeat {
            assert_eq!(world.runs(&sending.key), 1, "an answer without a run");
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
        let mut sendings: Vec<_> = world.sendings.iter().collect();
        sendings.sort_by_key(|(id, _)| id.sequence());
        let fates: Vec<_> = sendings.iter().map(|(_, s)| describe(&s.fate)).collect();
        expect_that!(world.runs("k").to_string(), eq(columns[3]), "{row}");
        expect_that!(fates.join(" "), eq(columns[4]), "{row}");
    }
}

#[gtest]
fn an_outage_is_not_met_with_a_call_for_every_request() {
    let mut world = World::new();
    apply(&mut world, "cut a");
    for second in 0..600 {
        for part in 0..5 {
            world.send(0, &format!("key-{second}-{part}"), "body");
            world.calls(0);
            world.wait(200);
        }
    }
    // Three failures close the gate; then a claim each 2.5 s at most, of 4 calls each.
    expect_that!(world.calls, le((3 + 600 * 10 / 25 + 10) * 4));
    expect_that!(
        world
            .sendings
            .values()
            .all(|s| describe(&s.fate) == "claim_unavailable+"),
        eq(true)
    );
    apply(&mut world, "heal a");
    world.wait(5_000);
    world.send(0, "after", "body");
    world.calls(0);
    world.end(0, None);
    let after = world.sendings.values().find(|s| s.key == "after");
    expect_that!(after.map(|s| describe(&s.fate)), some(eq("answer")));
}

/// The steps that are drawn; calls are served one by one, so that entries interleave.
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
/// The faults that are drawn in pairs.
const FAULTS: [&str; 10] = [
    "cut a", "cut b", "heal a", "heal b", "late a", "late b", "die a", "lose a", "lose b", "land",
];
/// The seed of the drawn cases.
const SEED: [u8; 32] = [17; 32];

#[gtest]
fn no_key_runs_twice_whatever_two_faults_come_together() {
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
            for (place, fault) in [first, second] {
                steps.insert(place.min(steps.len()), fault);
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
