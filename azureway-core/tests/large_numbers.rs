//! Tests of backend servers that state very large numbers.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches};

/// Each row holds the slots of a server and the load that it states with an answer. Guards against
/// sums and products that overflow.
#[gtest]
fn a_router_takes_every_slot_count_and_load() {
    let rows = [
        (u32::MAX, None),
        (u32::MAX, Some((0, 0))),
        (u32::MAX, Some((u32::MAX, 0))),
        (u32::MAX, Some((u32::MAX, u32::MAX))),
        (1 << 31, Some((1 << 31, 1 << 31))),
        (1, Some((u32::MAX, u32::MAX))),
        (0, Some((u32::MAX, u32::MAX))),
    ];
    for (slots, load) in rows {
        for rank in Rank::ALL {
            let mut fixture = RouterFixture::new(2, slots);
            let sample = LoadSample {
                pace: None,
                server: ServerId::new("engine-1"),
                load,
                weights: Some(WeightsVersion::new(u64::MAX)),
                rate_limit: RequestRate::from_per_second(f64::MAX),
            };
            fixture.handle(Event::LoadSample(&sample));
            for _ in 0..3 {
                let mut request = fixture.request("small", &["house", "shop"]);
                request.rank = rank;
                let sent = fixture.handle(Event::Arrived(&request));
                let expected = usize::from(slots > 1);
                expect_that!(dispatches(&sent).len(), ge(expected), "{slots} {load:?}");
                fixture.handle(Event::LoadSample(&sample));
                fixture.advance(Duration::from_secs(1));
            }
        }
    }
}

/// Guards against a report whose sum overflows.
#[gtest]
fn a_router_takes_every_load_report() {
    let mut fixture = RouterFixture::new(2, 4);
    let report = LoadReport {
        pace: None,
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(u64::MAX),
        weights: WeightsVersion::new(1),
        running: u32::MAX,
        queued: u32::MAX,
        pending: TokenCount::new(u64::MAX),
        leaving: false,
    };
    fixture.handle(Event::Load(&report));
    let request = fixture.request("small", &["house"]);
    let sent = fixture.handle(Event::Arrived(&request));
    expect_that!(dispatches(&sent).len(), eq(1));
    expect_that!(dispatches(&sent)[0].server, eq(&ServerId::new("engine-2")));
}

/// Guards against an estimate that overflows: a caller states the tokens of its prompt.
#[gtest]
fn a_router_takes_every_prompt_size_at_every_load() {
    for (slots, load) in [(4, 0), (4, 1), (4, u32::MAX), (1, u32::MAX)] {
        for tokens in [1 << 32, 1 << 63, u64::MAX] {
            let mut fixture = RouterFixture::new(2, slots);
            for server in ["engine-1", "engine-2"] {
                let sample = LoadSample {
                    pace: None,
                    server: ServerId::new(server),
                    load: Some((load, load)),
                    weights: None,
                    rate_limit: None,
                };
                fixture.handle(Event::LoadSample(&sample));
            }
            let mut request = fixture.request("small", &["house"]);
            let block = |id: &[u8]| Block {
                key: BlockKey::first(request.prompt.salt(), id),
                tokens: TokenCount::new(tokens),
            };
            let blocks = vec![block(b"a"), block(b"b"), block(b"c")];
            request.prompt = PromptBlocks::from_blocks(request.prompt.salt(), blocks, 2);
            let sent = fixture.handle(Event::Arrived(&request));
            expect_that!(dispatches(&sent).len(), eq(1), "{slots} {load} {tokens}");
        }
    }
}
