//! The identity of cached blocks and the index.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;

fn chain(account: &str, weights: u64, levels: &[&str]) -> BlockChain {
    let (account, service) = (AccountId::new(account), ServiceId::new("advice"));
    let salt = Salt::new(&account, &service, WeightsVersion::new(weights));
    BlockChain::new(salt, levels.iter().map(|l| l.as_bytes()))
}

fn update<'a>(server: &'a ServerId, life: u64, first: u64, ops: &'a [CacheOp]) -> CacheUpdate<'a> {
    CacheUpdate {
        server,
        incarnation: Incarnation::new(life),
        first,
        snapshot: false,
        ops,
    }
}

#[gtest]
fn prompts_share_blocks_up_to_the_first_level_that_differs() {
    let (one, two) = (
        chain("a", 1, &["house", "shop", "x"]),
        chain("a", 1, &["house", "shop", "y"]),
    );
    expect_that!(one.blocks()[..2], eq(&two.blocks()[..2]));
    expect_that!(one.blocks()[2].key, not(eq(two.blocks()[2].key)));
    expect_that!(one.prefix(), eq(two.prefix()));
}

#[gtest]
fn another_account_or_other_weights_share_nothing() {
    let base = chain("a", 1, &["house"]);
    expect_that!(
        chain("b", 1, &["house"]).blocks()[0].key,
        not(eq(base.blocks()[0].key))
    );
    expect_that!(
        chain("a", 2, &["house"]).blocks()[0].key,
        not(eq(base.blocks()[0].key))
    );
}

#[gtest]
fn entries_of_an_earlier_incarnation_are_unreachable() {
    let (mut index, server) = (CacheIndex::new(), ServerId::new("engine-1"));
    let prompt = chain("a", 1, &["house"]);
    let ops = [CacheOp::Stored(prompt.blocks()[0].key)];
    expect_that!(index.update(&update(&server, 1, 0, &ops)), eq(false));
    let held = |i: &mut CacheIndex, life| {
        i.cached_tokens(&server, Incarnation::new(life), prompt.blocks())
    };
    expect_that!(held(&mut index, 1), eq(prompt.tokens()));
    expect_that!(held(&mut index, 2), eq(TokenCount::ZERO));
    index.update(&update(&server, 2, 0, &[]));
    index.update(&update(&server, 1, 1, &ops));
    expect_that!(held(&mut index, 2), eq(TokenCount::ZERO));
}

#[gtest]
fn a_gap_in_the_events_is_noticed_and_doubled_events_are_not() {
    let (mut index, server) = (CacheIndex::new(), ServerId::new("engine-1"));
    let prompt = chain("a", 1, &["house", "shop"]);
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
fn a_full_index_keeps_what_is_looked_up_and_drops_what_is_not() {
    let (mut index, server) = (CacheIndex::new().with_bound(4), ServerId::new("engine-1"));
    let prompt = chain("a", 1, &["house", "shop"]);
    let hot: Vec<_> = prompt
        .blocks()
        .iter()
        .map(|b| CacheOp::Stored(b.key))
        .collect();
    index.update(&update(&server, 1, 0, &hot));
    for number in 0..64_u64 {
        let cold = [CacheOp::Stored(BlockKey::new(u128::from(number)))];
        index.update(&update(&server, 1, 2 + number, &cold));
        let held = index.cached_tokens(&server, Incarnation::new(1), prompt.blocks());
        expect_that!(held, eq(prompt.tokens()));
        expect_that!(index.len(), le(4));
    }
}

#[gtest]
fn a_server_that_is_forgotten_holds_nothing_until_it_tells_again() {
    let (mut index, server) = (CacheIndex::new(), ServerId::new("engine-1"));
    let prompt = chain("a", 1, &["house"]);
    let ops = [CacheOp::Stored(prompt.blocks()[0].key)];
    let held = |i: &mut CacheIndex| i.cached_tokens(&server, Incarnation::new(1), prompt.blocks());
    index.update(&update(&server, 1, 0, &ops));
    index.invalidate(&server);
    expect_that!(held(&mut index), eq(TokenCount::ZERO));
    expect_that!(index.is_complete(&server, Incarnation::new(1)), eq(false));
    index.assume_cached(&server, Incarnation::new(1), prompt.blocks());
    expect_that!(held(&mut index), eq(TokenCount::ZERO));
    let snapshot = CacheUpdate {
        snapshot: true,
        ..update(&server, 1, 9, &ops)
    };
    expect_that!(index.update(&snapshot), eq(false));
    expect_that!(held(&mut index), eq(prompt.tokens()));
}
