//! Tests of the replay's engine model by itself.

use azureway_core::prelude::*;
use azureway_dev::replay::{EngineModel, EngineSpeed, GeneratedToken, Owner, Task};
use googletest::prelude::*;

fn engine(blocks: usize) -> EngineModel {
    let (id, zone) = (ServerId::new("e"), ZoneId::new("a"));
    EngineModel::new(id, zone, EngineSpeed::new(), blocks)
}

fn task(number: u64, rank: Rank, prompt: u64) -> Task {
    let block = Block {
        key: BlockKey::new(u128::from(number)),
        tokens: TokenCount::new(prompt),
    };
    Task {
        owner: Owner::Entry(Attempt::new(RequestId::new(1, number), 1)),
        rank,
        prompt: PromptBlocks::from_blocks(Salt::from_number(1), [block], 1),
        weights: WeightsVersion::new(1),
        output: 3,
        position: 0,
        resumed: 0,
        pending: 0,
        cached: 0,
        poison: false,
    }
}

/// Steps until the engine has nothing to do and returns the tokens.
fn drain(engine: &mut EngineModel) -> Vec<GeneratedToken> {
    let mut out = Vec::new();
    while engine.begin_step().is_some() {
        engine.end_step(&mut out);
    }
    out
}

#[gtest]
fn a_repeated_prompt_hits_the_cached_blocks() {
    let mut engine = engine(8);
    engine.push(task(1, Rank::Urgent, 2_000));
    drain(&mut engine);
    engine.push(task(1, Rank::Urgent, 2_000));
    let again = drain(&mut engine);
    expect_that!(again[0].cached, eq(2_000));
}

#[gtest]
fn a_full_cache_evicts_the_least_recently_used_block() {
    let mut engine = engine(2);
    for number in [1, 2, 1, 3] {
        engine.push(task(number, Rank::Urgent, 2_000));
        drain(&mut engine);
    }
    let held: Vec<u128> = engine.cache.keys().map(BlockKey::get).collect();
    expect_that!(held, eq(&vec![1, 3]));
}

#[gtest]
fn urgent_prompts_are_computed_before_drafting_ones() {
    let mut engine = engine(8);
    engine.push(task(1, Rank::Drafting, 4_000));
    engine.push(task(2, Rank::Urgent, 4_000));
    let first = drain(&mut engine)[0];
    let urgent = Attempt::new(RequestId::new(1, 2), 1);
    expect_that!(first.owner, eq(Owner::Entry(urgent)));
}

#[gtest]
fn a_resumed_answer_continues_after_the_given_position() {
    let mut engine = engine(8);
    let resumed = Task {
        position: 2,
        resumed: 2,
        ..task(1, Rank::Urgent, 100)
    };
    engine.push(resumed);
    let tokens = drain(&mut engine);
    expect_that!(tokens.len(), eq(1));
    expect_that!(tokens[0].position, eq(3));
    expect_that!(tokens[0].first && tokens[0].done, eq(true));
}

#[gtest]
fn a_crash_clears_the_engine_and_starts_the_next_incarnation() {
    let mut engine = engine(8);
    engine.push(task(1, Rank::Urgent, 2_000));
    drain(&mut engine);
    engine.push(task(2, Rank::Urgent, 2_000));
    let lost = engine.crash();
    expect_that!(lost.len(), eq(1));
    expect_that!(engine.cache.keys().count(), eq(0));
    expect_that!(engine.incarnation, eq(Incarnation::new(2)));
    expect_that!(engine.accepts_weights(WeightsVersion::new(1)), eq(false));
}

#[gtest]
fn three_concurrent_loads_take_longer_than_two() {
    let speed = EngineSpeed::new();
    expect_that!(
        speed.load_time(2),
        eq(std::time::Duration::from_millis(600))
    );
    expect_that!(
        speed.load_time(3),
        eq(std::time::Duration::from_millis(1_200))
    );
}
