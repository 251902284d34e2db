//! Tests of admission while requests need more memory than the backend servers have.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

use support::*;

/// The tokens that the memory of a server holds: some ten prompts of the flood.
const MEMORY: u64 = 10_000;
/// More slots than the memory has room for.
const SLOTS: u32 = 64;

/// Returns a router with one server, whose memory is small.
fn small_server() -> RouterFixture {
    let mut fixture = RouterFixture::new(1, SLOTS);
    let mut fleet = fleet(1, SLOTS).with_version(ConfigVersion::new(2));
    for server in fleet.servers.values_mut() {
        server.capacity = Some(EngineCapacity {
            memory: TokenCount::new(MEMORY),
            token_bytes: 1,
            link: 1,
        });
    }
    fixture.handle(Event::Configured(&fleet));
    fixture
}

/// Returns a request with a prompt of `tokens` tokens of its own.
fn request(fixture: &mut RouterFixture, tokens: usize, rank: Rank, number: usize) -> Request {
    let text = format!("{number:08}{}", "p".repeat(tokens * 4 - 8));
    let mut request = fixture.request("small", &[&text]);
    request.rank = rank;
    request
}

/// Sends `count` requests and returns the dispatched ones.
fn flood(fixture: &mut RouterFixture, tokens: usize, rank: Rank, count: usize) -> Vec<Dispatch> {
    let mut sent = Vec::new();
    for number in 0..count {
        let request = request(fixture, tokens, rank, number);
        let actions = fixture.handle(Event::Arrived(&request));
        expect_that!(refusals(&actions), is_empty());
        sent.extend(dispatches(&actions).into_iter().cloned());
    }
    sent
}

fn finish(fixture: &mut RouterFixture, dispatch: &Dispatch) -> Vec<Action> {
    fixture.handle(Event::Finished(&Finish {
        attempt: dispatch.attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::new(100),
    }))
}

#[gtest]
fn a_flood_of_long_prompts_waits_for_memory_although_slots_are_free() {
    let mut fixture = small_server();
    // A request occupies 1,000 tokens and an answer of 112.
    let sent = flood(&mut fixture, 1_000, Rank::Urgent, 20);
    expect_that!(sent.len(), eq(8));
    let actions = finish(&mut fixture, &sent[0]);
    expect_that!(dispatches(&actions).len(), eq(1));
}

#[gtest]
fn a_flood_of_drafting_leaves_memory_to_urgent_work() {
    let mut fixture = small_server();
    let sent = flood(&mut fixture, 1_000, Rank::Drafting, 20);
    expect_that!(sent.len(), eq(6));
    let urgent = request(&mut fixture, 1_000, Rank::Urgent, 100);
    let actions = fixture.handle(Event::Arrived(&urgent));
    expect_that!(dispatches(&actions)[0].attempt.id, eq(urgent.id));
}

#[gtest]
fn a_prompt_larger_than_every_server_is_refused_at_once() {
    let mut fixture = small_server();
    let large = request(&mut fixture, MEMORY as usize, Rank::Urgent, 0);
    let actions = fixture.handle(Event::Arrived(&large));
    expect_that!(refusals(&actions)[0].reason, eq(RefusalReason::TooLarge));
    expect_that!(refusals(&actions)[0].not_run, eq(true));
}

#[gtest]
fn a_large_request_is_not_passed_by_small_ones_until_it_is_sent() {
    let mut fixture = small_server();
    let sent = flood(&mut fixture, 1_000, Rank::Urgent, 4);
    let large = request(&mut fixture, 8_000, Rank::Urgent, 50);
    expect_that!(
        dispatches(&fixture.handle(Event::Arrived(&large))),
        is_empty()
    );
    expect_that!(flood(&mut fixture, 500, Rank::Urgent, 10), is_empty());
    let actions: Vec<_> = sent.iter().flat_map(|d| finish(&mut fixture, d)).collect();
    expect_that!(dispatches(&actions)[0].attempt.id, eq(large.id));
}

#[gtest]
fn a_server_that_failed_frees_the_memory_of_its_requests() {
    let mut fixture = small_server();
    let sent = flood(&mut fixture, 1_000, Rank::Urgent, 20);
    for dispatch in &sent {
        let failed = failure(dispatch, FailureKind::Broken, SendState::MaybeRun, 0);
        fixture.handle(Event::Failed(&failed));
    }
    let id = ServerId::new("engine-1");
    let own = |f: &RouterFixture| f.router.servers().get(&id).expect("the server").room.own();
    expect_that!(own(&fixture), eq(TokenCount::ZERO));
    // After the suspicion the requests are sent again, as many as there is room for.
    let actions = fixture.advance(Duration::from_secs(3));
    expect_that!(dispatches(&actions).len(), eq(8));
}

#[gtest]
fn requests_that_the_load_figure_lacks_count_for_every_entry_until_a_fresh_one_shows_them() {
    let mut fixture = small_server();
    fixture.handle(Event::ZoneEntries(4));
    let sent = flood(&mut fixture, 1_000, Rank::Urgent, 20);
    // Each of four entries sends two: a third one of each would exceed the memory.
    expect_that!(sent.len(), eq(2));
    let sample = LoadSample {
        server: ServerId::new("engine-1"),
        load: Some((2, 0)),
        pace: None,
        weights: None,
        rate_limit: None,
    };
    // Requests younger than the lag of load figures count as sent by the other entries as well.
    let actions: Vec<_> = (0..2)
        .flat_map(|_| {
            fixture.now = fixture.now + Duration::from_millis(600);
            fixture.handle(Event::LoadSample(&sample))
        })
        .collect();
    expect_that!(dispatches(&actions).len(), gt(0));
}
