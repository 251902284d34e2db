//! Random runs of a whole site: several routers, one store and a few backend servers. The rules of
//! the users' platform are checked after every event.
#![expect(
    unreachable_pub,
    reason = "test helpers are used only within their test crate"
)]

mod entry;
mod server;
mod step;
mod store;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use step::Step;
use world::World;

/// The seed of the random runs.
const SEED: [u8; 32] = *b"azureway site runs, first seed  ";
/// The number of random runs.
const RUNS: u32 = 300;
/// Exclusive upper bound of the number of steps in a run.
const MAX_STEPS: usize = 150;

#[test]
fn platform_rules_hold_after_every_event_of_random_runs() {
    let config = Config {
        cases: RUNS,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&prop::collection::vec(Step::any(), 1..MAX_STEPS), |steps| {
        let mut world = World::new();
        steps.iter().try_for_each(|step| world.step(step))?;
        world.finish_all()
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn runs_that_once_failed_now_pass() {
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
        if let Err(e) = result.and_then(|()| world.finish_all()) {
            panic!("{}: {e}", cause.trim());
        }
    }
}
