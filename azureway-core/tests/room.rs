//! Tests of the estimate of a backend server's memory.

mod support;

use azureway_core::fleet::RoomMeter;
use azureway_core::prelude::*;
use googletest::prelude::*;

use support::*;

const CAPACITY: TokenCount = TokenCount::new(10_000);

#[gtest]
fn a_server_without_a_known_capacity_has_room() {
    let meter = RoomMeter::new(None);
    expect_that!(meter.allows(TokenCount::new(u64::MAX)), eq(true));
}

#[gtest]
fn requests_occupy_memory_until_they_end() {
    let mut meter = RoomMeter::new(Some(CAPACITY));
    let footprint = TokenCount::new(6_000);
    meter.begin(footprint);
    expect_that!(meter.own(), eq(footprint));
    expect_that!(meter.allows(TokenCount::new(4_000)), eq(true));
    expect_that!(meter.allows(TokenCount::new(4_001)), eq(false));
    meter.end(footprint);
    expect_that!(meter.allows(CAPACITY), eq(true));
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
