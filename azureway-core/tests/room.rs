//! Tests of prompts that no backend server can hold. The pattern: a caller that sends prompts longer than the
//! engines' memory, which would wait for a server until their deadlines pass.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;

use support::*;

/// Returns a router whose servers hold `memory` tokens, or state no memory.
fn fixture(memory: Option<u64>) -> RouterFixture {
    let mut fixture = RouterFixture::new(2, 4);
    let mut fleet = fleet(2, 4).with_version(ConfigVersion::new(2));
    for server in fleet.servers.values_mut() {
        server.capacity = memory.map(|tokens| EngineCapacity {
            memory: TokenCount::new(tokens),
            token_bytes: 4_096,
            link: 400_000,
        });
    }
    fixture.handle(Event::Configured(&fleet));
    fixture
}

#[gtest]
fn a_prompt_larger_than_every_server_is_refused_at_once() {
    let levels = ["house rules", "today's notes"];
    let length = RouterFixture::new(1, 1).request("small", &levels).prompt;
    let length = length.tokens().get();
    for (memory, sent) in [(None, 1), (Some(length + 1), 1), (Some(length), 0)] {
        let mut fixture = fixture(memory);
        let request = fixture.request("small", &levels);
        let actions = fixture.handle(Event::Arrived(&request));
        expect_that!(dispatches(&actions).len(), eq(sent), "{memory:?}");
        let reasons: Vec<_> = refusals(&actions)
            .iter()
            .map(|r| (r.reason, r.not_run))
            .collect();
        let refused = vec![(RefusalReason::TooLarge, true); 1 - sent];
        expect_that!(reasons, eq(&refused), "{memory:?}");
    }
}
