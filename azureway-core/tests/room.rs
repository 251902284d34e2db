//! Tests of the estimate of a backend server's memory.

mod support;

use azureway_core::fleet::{RoomMeter, SizeMeter};
use azureway_core::prelude::*;
use googletest::prelude::*;

use support::*;

const CAPACITY: TokenCount = TokenCount::new(10_000);

/// Returns a request whose prompt has a shared part and an own one, with an answer of 8 tokens.
fn request(shared: u64, own: u64, id: u128) -> Request {
    let mut request = RouterFixture::new(1, 1).request("small", &["hi"]);
    let block = |key, tokens| Block {
        key: BlockKey::new(key),
        tokens: TokenCount::new(tokens),
    };
    let blocks = [block(1, shared), block(100 + id, own)];
    request.prompt = PromptBlocks::from_blocks(request.prompt.salt(), blocks, 1);
    request.expected_output = TokenCount::new(8);
    request
}

#[gtest]
fn a_server_without_a_known_capacity_has_room() {
    let meter = RoomMeter::new(None);
    let huge = request(u64::MAX / 2, 1, 0);
    expect_that!(meter.allows(&huge, TokenCount::ZERO, true), eq(true));
}

#[gtest]
fn requests_occupy_memory_until_they_end() {
    let mut meter = RoomMeter::new(Some(CAPACITY));
    let first = request(1_600, 4_384, 0);
    meter.begin(&first);
    expect_that!(meter.own(), eq(TokenCount::new(6_000)));
    // The other request shares 1,600 tokens and adds its own part and its answer.
    let allows =
        |meter: &RoomMeter, own| meter.allows(&request(1_600, own, 1), TokenCount::ZERO, false);
    expect_that!(allows(&meter, 3_984), eq(true));
    expect_that!(allows(&meter, 3_985), eq(false));
    meter.end(&first);
    expect_that!(meter.own(), eq(TokenCount::ZERO));
    expect_that!(allows(&meter, 8_300), eq(true));
}

#[gtest]
fn a_shared_block_is_freed_with_its_last_request() {
    let mut meter = RoomMeter::new(Some(CAPACITY));
    let (first, second) = (request(1_600, 160, 0), request(1_600, 160, 1));
    meter.begin(&first);
    meter.begin(&second);
    expect_that!(meter.own(), eq(TokenCount::new(1_600 + 2 * (160 + 16))));
    meter.end(&first);
    expect_that!(meter.own(), eq(TokenCount::new(1_600 + 160 + 16)));
    meter.end(&second);
    expect_that!(meter.own(), eq(TokenCount::ZERO));
}

#[gtest]
fn drafting_leaves_a_part_of_the_memory_to_urgent_work() {
    let meter = RoomMeter::new(Some(CAPACITY));
    let (request, others) = (request(160, 160, 0), TokenCount::new(7_200));
    expect_that!(meter.allows(&request, others, false), eq(true));
    expect_that!(meter.allows(&request, others, true), eq(false));
}

#[gtest]
fn an_idle_server_has_room_for_a_request_that_leaves_no_reserve() {
    let meter = RoomMeter::new(Some(CAPACITY));
    let large = request(1_600, 8_300, 0);
    expect_that!(meter.allows(&large, TokenCount::ZERO, true), eq(true));
    expect_that!(meter.can_hold(&request(1_600, 8_400, 0)), eq(false));
}

#[gtest]
fn the_typical_size_is_the_mean_of_the_requests() {
    let mut sizes = SizeMeter::new();
    expect_that!(sizes.typical(), eq(TokenCount::ZERO));
    sizes.record(TokenCount::new(1_000));
    sizes.record(TokenCount::new(3_000));
    expect_that!(sizes.typical(), eq(TokenCount::new(2_000)));
}

#[gtest]
fn a_request_occupies_its_prompt_and_its_expected_answer() {
    let mut request = RouterFixture::new(1, 1).request("small", &["house rules!"]);
    request.expected_output = TokenCount::new(7);
    expect_that!(
        request.footprint(),
        eq(request.prompt.tokens() + TokenCount::new(7))
    );
}
