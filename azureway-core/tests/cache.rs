//! Tests of block keys and of the cache index.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;

fn prompt_blocks(account: &str, weights: u64, levels: &[&str]) -> PromptBlocks {
    let (account, service) = (AccountId::new(account), ServiceId::new("advice"));
    let salt = Salt::new(&account, &service, WeightsVersion::new(weights));
    PromptBlocks::new(salt, levels.iter().map(|l| l.as_bytes()))
}

fn update<'a>(
    server: &'a ServerId,
    incarnation: u64,
    first: u64,
    ops: &'a [CacheOp],
) -> CacheUpdate<'a> {
    CacheUpdate {
        server,
        incarnation: Incarnation::new(incarnation),
        first,
        snapshot: false,
        ops,
    }
}

#[gtest]
fn prompts_share_blocks_up_to_the_first_level_that_differs() {
    let (one, two) = (
        prompt_blocks("a", 1, &["house", "shop", "x"]),
        prompt_blocks("a", 1, &["house", "shop", "y"]),
    );
    expect_that!(one.blocks()[..2], eq(&two.blocks()[..2]));
    expect_that!(one.blocks()[2].key, not(eq(two.blocks()[2].key)));
    expect_that!(one.prefix(), eq(two.prefix()));
}

#[gtest]
fn accounts_and_weights_do_not_share_blocks() {
    let base = prompt_blocks("a", 1, &["house"]);
    expect_that!(
        prompt_blocks("b", 1, &["house"]).blocks()[0].key,
        not(eq(base.blocks()[0].key))
    );
    expect_that!(
        prompt_blocks("a", 2, &["house"]).blocks()[0].key,
        not(eq(base.blocks()[0].key))
    );
}

#[gtest]
fn records_of_an_earlier_incarnation_are_invalid() {
    let (mut index, server) = (CacheIndex::new(), ServerId::new("engine-1"));
    let prompt = prompt_blocks("a", 1, &["house"]);
    let ops = [CacheOp::Stored(prompt.blocks()[0].key)];
    expect_that!(index.update(&update(&server, 1, 0, &ops)), eq(false));
    let cached = |i: &mut CacheIndex, incarnation| {
        i.cached_tokens(&server, Incarnation::new(incarnation), prompt.blocks())
    };
    expect_that!(cached(&mut index, 1), eq(prompt.tokens()));
    expect_that!(cached(&mut index, 2), eq(TokenCount::ZERO));
    index.update(&update(&server, 2, 0, &[]));
    index.update(&update(&server, 1, 1, &ops));
    expect_that!(cached(&mut index, 2), eq(TokenCount::ZERO));
}

#[gtest]
fn event_gaps_are_detected_and_repeated_events_are_ignored() {
    let (mut index, server) = (CacheIndex::new(), ServerId::new("engine-1"));
    let prompt = prompt_blocks("a", 1, &["house", "shop"]);
    let ops: Vec<_> = prompt
        .blocks()
        .iter()
        .map(|b| CacheOp::Stored(b.key))
        .collect();
    expect_that!(index.update(&update(&server, 1, 0, &ops)), eq(false));
    expect_that!(index.update(&update(&server, 1, 1, &ops[1..])), eq(false));
    expect_that!(index.update(&update(&server, 1, 3, &[])), eq(true));
}

#[gtest]
fn a_full_index_evicts_only_blocks_that_are_not_looked_up() {
    let (mut index, server) = (CacheIndex::new().with_bound(4), ServerId::new("engine-1"));
    let prompt = prompt_blocks("a", 1, &["house", "shop"]);
    let hot: Vec<_> = prompt
        .blocks()
        .iter()
        .map(|b| CacheOp::Stored(b.key))
        .collect();
    index.update(&update(&server, 1, 0, &hot));
    for number in 0..64_u64 {
        let cold = [CacheOp::Stored(BlockKey::new(u128::from(number)))];
        index.update(&update(&server, 1, 2 + number, &cold));
        let cached = index.cached_tokens(&server, Incarnation::new(1), prompt.blocks());
        expect_that!(cached, eq(prompt.tokens()));
        expect_that!(index.len(), le(4));
    }
}

#[gtest]
fn an_invalidated_server_has_no_blocks_until_its_next_snapshot() {
    let (mut index, server) = (CacheIndex::new(), ServerId::new("engine-1"));
    let prompt = prompt_blocks("a", 1, &["house"]);
    let ops = [CacheOp::Stored(prompt.blocks()[0].key)];
    let cached =
        |i: &mut CacheIndex| i.cached_tokens(&server, Incarnation::new(1), prompt.blocks());
    index.update(&update(&server, 1, 0, &ops));
    index.invalidate(&server);
    expect_that!(cached(&mut index), eq(TokenCount::ZERO));
    expect_that!(index.is_complete(&server, Incarnation::new(1)), eq(false));
    index.assume_cached(&server, Incarnation::new(1), prompt.blocks());
    expect_that!(cached(&mut index), eq(TokenCount::ZERO));
    let snapshot = CacheUpdate {
        snapshot: true,
        ..update(&server, 1, 9, &ops)
    };
    expect_that!(index.update(&snapshot), eq(false));
    expect_that!(cached(&mut index), eq(prompt.tokens()));
}

/// Guards against an index that fills the memory of the instance: many servers that hold the same blocks, each
/// of which is one record with a long list of holders.
#[gtest]
fn holders_of_the_same_blocks_count_towards_the_memory_of_the_index() {
    const BOUND: usize = 1024 * 1024;
    let mut index = CacheIndex::new().with_memory(BOUND);
    let ops: Vec<_> = (0..2_000)
        .map(|n| CacheOp::Stored(BlockKey::new(n)))
        .collect();
    for number in 0..256 {
        let server = ServerId::new(&format!("engine-{number}"));
        index.update(&update(&server, 1, 0, &ops));
        expect_that!(index.memory(), le(BOUND));
    }
    expect_that!(index.len(), gt(0));
}

#[gtest]
fn a_server_in_the_place_of_a_removed_one_has_none_of_its_blocks() {
    let mut index = CacheIndex::new();
    let (gone, new) = (ServerId::new("gone"), ServerId::new("new"));
    let prompt = prompt_blocks("a", 1, &["house"]);
    let ops = [CacheOp::Stored(prompt.blocks()[0].key)];
    index.update(&update(&gone, 1, 0, &ops));
    index.remove(&gone);
    index.update(&update(&new, 1, 0, &[]));
    let cached = index.cached_tokens(&new, Incarnation::new(1), prompt.blocks());
    expect_that!(cached, eq(TokenCount::ZERO));
}
