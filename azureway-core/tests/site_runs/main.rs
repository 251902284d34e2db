//! Drawn runs of a whole site: several routers, one store and a few replicas, with the rules of
//! the users' platform checked after every event.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

mod entry;
mod replica;
mod step;
mod store;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use step::Step;
use world::World;

/// The seed of the drawn runs.
const SEED: [u8; 32] = *b"azureway site runs, first seed  ";
/// The drawn runs.
const RUNS: u32 = 300;
/// The steps of a run at most.
const STEPS: usize = 150;

#[test]
fn the_rules_hold_after_every_event() {
    let config = Config {
        cases: RUNS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&prop::collection::vec(Step::any(), 1..STEPS), |steps| {
        let mut world = World::new();
        steps.iter().try_for_each(|step| world.step(step))?;
        world.settle()
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn runs_that_once_failed_hold() {
    for line in include_str!("../../testdata/site_runs.txt").lines() {
        if line.starts_with('#') || line.trim().is_empty() {
            continue;
        }
        let (cause, script) = line.split_once('|').expect("a cause and a script");
        let mut world = World::new();
        let steps = script
            .split(';')
            .map(|s| s.parse::<Step>().expect("a step"));
        let result = steps.into_iter().try_for_each(|step| world.step(&step));
        if let Err(e) = result.and_then(|()| world.settle()) {
            panic!("{}: {e}", cause.trim());
        }
    }
}
