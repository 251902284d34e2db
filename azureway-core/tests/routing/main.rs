//! Routing by cached blocks with two entries and two engines: the fault table, and random pairs of
//! faults.

mod engine;
mod world;

use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::World;

/// The fault table.
const TABLE: &str = include_str!("../../testdata/routing.txt");
/// The seed of the random pairs.
const SEED: [u8; 32] = *b"azureway routing, first seed    ";
/// The number of random pairs of faults.
const PAIRS: u32 = 400;
/// The faults of the table, as steps, from which the pairs are drawn.
const FAULTS: [&str; 16] = [
    "crash 1",
    "crash 2",
    "replace 1",
    "replace 2",
    "move 1",
    "move 2",
    "load 1 2",
    "load 2 2",
    "weights 2",
    "lose 1 a",
    "lose 2 b",
    "restart a",
    "restart b",
    "cut a",
    "cut b",
    "wait 2001",
];
/// The steps between faults.
const WORK: [&str; 12] = [
    "send a x urgent h.s",
    "send a y urgent h.s",
    "send b x drafting h.s.n",
    "send b y urgent h.t",
    "run 1",
    "run 2",
    "news 1 a",
    "news 2 a",
    "news 1 b",
    "news 2 b",
    "whole 1 a",
    "wait 101",
];

fn apply(world: &mut World, step: &str) {
    let words: Vec<&str> = step.split_whitespace().collect();
    let engine = |i: usize| usize::from(words[i] == "2");
    let entry = |i: usize| usize::from(words[i] == "b");
    let number = |i: usize| words[i].parse().expect("a number");
    match words[0] {
        "send" => {
            let rank = Rank::parse(words[3]).expect("a rank");
            world.send(entry(1), words[2], rank, words[4]);
        }
        "run" => world.run(engine(1)),
        "news" => world.deliver(engine(1), entry(2), false, false),
        "lose" => world.deliver(engine(1), entry(2), false, true),
        "whole" => world.deliver(engine(1), entry(2), true, false),
        "crash" => world.crash(engine(1)),
        "replace" => world.replace(engine(1), false),
        "move" => world.replace(engine(1), true),
        "weights" => world.set_weights(number(1)),
        "load" => world.engines[engine(1)].load(WeightsVersion::new(number(2))),
        "alone" => world.remove_engine(),
        "restart" => world.restart(entry(1)),
        "cut" => world.partition(entry(1)),
        "wait" => world.wait(number(1)),
        word => panic!("unknown step {word}"),
    }
}

#[gtest]
fn fault_table_gives_the_expected_results() {
    let rows = TABLE.lines().filter(|l| !l.starts_with('#'));
    for row in rows {
        let columns: Vec<&str> = row.split('|').map(str::trim).collect();
        let mut world = World::new();
        for step in columns[2].split(';') {
            apply(&mut world, step.trim());
        }
        let results: Vec<&str> = world.results.values().map(String::as_str).collect();
        expect_that!(results.join(" "), eq(columns[3]), "{row}");
    }
}

#[gtest]
fn pairs_of_faults_keep_the_invariants() {
    let work = prop::collection::vec(0..WORK.len(), 4..24);
    let faults = (0..FAULTS.len(), 0..FAULTS.len());
    let config = Config {
        cases: PAIRS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let parts = (work.clone(), work.clone(), work, faults);
    let outcome = TestRunner::new_with_rng(config, rng).run(&parts, |(one, two, three, faults)| {
        let mut world = World::new();
        one.iter().for_each(|w| apply(&mut world, WORK[*w]));
        apply(&mut world, FAULTS[faults.0]);
        two.iter().for_each(|w| apply(&mut world, WORK[*w]));
        apply(&mut world, FAULTS[faults.1]);
        three.iter().for_each(|w| apply(&mut world, WORK[*w]));
        // Requests that still wait have an outcome once their deadline has passed.
        for _ in 0..4 {
            (0..2).for_each(|e| world.run(e));
            world.wait(10_001);
        }
        prop_assert!(world.results.values().all(|s| !s.is_empty()));
        Ok(())
    });
    outcome.expect("every pair of faults keeps the invariants");
}
