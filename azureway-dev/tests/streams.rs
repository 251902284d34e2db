//! Tests that streams arrive complete and in order when engines fail.

mod support;

use std::time::Duration;

use azureway_config::settings::Bounds;
use azureway_dev::engine::Engine;
use azureway_dev::serve::System;
use googletest::prelude::*;
use support::{open_chat, positions, read_all, read_until, system};

/// The time between two tokens.
const INTERVAL: Duration = Duration::from_millis(10);
/// The number of tokens of an answer, large enough for a fault to occur in the middle.
const TOKENS: u64 = 60;

/// Returns bounds with a short timeout for a stalled connection.
fn bounds() -> Bounds {
    Bounds {
        event_timeout: Duration::from_millis(400),
        ..Bounds::new()
    }
}

/// Returns the engine that is running the only request.
fn busy_engine(system: &System) -> &Engine {
    system
        .engines
        .iter()
        .find(|e| e.running() > 0)
        .expect("an engine runs the request")
}

/// Checks that an answer contains every event once and in order.
fn expect_complete(answer: &str) {
    let all: Vec<u64> = (0..TOKENS + 2).collect();
    expect_that!(positions(answer), eq(&all));
    expect_that!(answer, contains_substring("[DONE]"));
}

#[gtest]
fn a_stream_survives_the_crash_of_its_engine() {
    let system = system(2, INTERVAL, &bounds());
    let mut stream = open_chat(&system, TOKENS);
    let mut answer = read_until(&mut stream, "id: 5\n");
    busy_engine(&system).crash();
    answer.push_str(&read_all(&mut stream));
    expect_complete(&answer);
    system.drain();
}

#[gtest]
fn a_stream_survives_two_crashes() {
    let system = system(3, INTERVAL, &bounds());
    let mut stream = open_chat(&system, TOKENS);
    let mut answer = read_until(&mut stream, "id: 5\n");
    busy_engine(&system).crash();
    answer.push_str(&read_until(&mut stream, "id: 20\n"));
    busy_engine(&system).crash();
    answer.push_str(&read_all(&mut stream));
    expect_complete(&answer);
    system.drain();
}

#[gtest]
fn a_stream_on_a_stalled_connection_is_resumed_on_a_new_one() {
    let system = system(1, INTERVAL, &bounds());
    let mut stream = open_chat(&system, TOKENS);
    let mut answer = read_until(&mut stream, "id: 5\n");
    busy_engine(&system).stall_connections();
    answer.push_str(&read_all(&mut stream));
    expect_complete(&answer);
    system.drain();
}

#[gtest]
fn a_stream_without_any_engine_left_ends_with_an_error_as_possibly_run() {
    let system = system(1, INTERVAL, &bounds());
    let mut stream = open_chat(&system, TOKENS);
    let mut answer = read_until(&mut stream, "id: 5\n");
    let engine = std::sync::Arc::clone(&system.engines[0]);
    engine.set_rejecting(true);
    engine.crash();
    answer.push_str(&read_all(&mut stream));
    expect_that!(answer, contains_substring("event: error"));
    expect_that!(answer, contains_substring("\"code\":\"stream_broken\""));
    expect_that!(answer, contains_substring("\"not_run\":false"));
    expect_that!(answer, not(contains_substring("[DONE]")));
    let positions = positions(&answer);
    expect_that!(
        positions,
        eq(&(0..positions.len() as u64).collect::<Vec<_>>())
    );
    system.drain();
}

#[gtest]
fn a_disconnect_of_the_caller_cancels_the_request_at_the_engine() {
    let system = system(1, INTERVAL, &bounds());
    let mut stream = open_chat(&system, 1_000_000);
    read_until(&mut stream, "id: 2\n");
    let engine = &system.engines[0];
    expect_that!(engine.running(), eq(1));
    drop(stream);
    // Returns once the engine has stopped the request. It has no timeout of its own.
    engine.wait_idle();
    expect_that!(engine.running(), eq(0));
    system.drain();
}

#[gtest]
fn a_shutdown_completes_the_running_streams() {
    let system = system(2, INTERVAL, &bounds());
    let mut streams: Vec<_> = (0..5).map(|_| open_chat(&system, TOKENS)).collect();
    let mut answers: Vec<_> = streams
        .iter_mut()
        .map(|s| read_until(s, "id: 1\n"))
        .collect();
    let drain = std::thread::spawn(move || system.drain());
    for (stream, answer) in streams.iter_mut().zip(&mut answers) {
        answer.push_str(&read_all(stream));
        expect_complete(answer);
    }
    drain.join().expect("drained");
}

#[gtest]
fn concurrent_streams_do_not_mix() {
    let system = system(2, INTERVAL, &bounds());
    let mut streams: Vec<_> = (0..12).map(|_| open_chat(&system, TOKENS)).collect();
    let mut answers: Vec<_> = streams
        .iter_mut()
        .map(|s| read_until(s, "id: 3\n"))
        .collect();
    system.engines[0].crash();
    for (stream, answer) in streams.iter_mut().zip(&mut answers) {
        answer.push_str(&read_all(stream));
        expect_complete(answer);
        let ids: std::collections::BTreeSet<&str> = request_ids(answer).collect();
        expect_that!(ids.len(), eq(1));
    }
    system.drain();
}

/// Returns the request ID of each event of an answer, without the number of the attempt.
fn request_ids(answer: &str) -> impl Iterator<Item = &str> {
    let ids = answer.split("\"id\":\"").skip(1);
    ids.filter_map(|rest| rest.split('"').next())
        .filter_map(|id| id.split('.').next())
}

// Guards against requests and resumed streams that go to an engine that has said with an answer that it
// leaves, while its reports still say that it does not.
#[gtest]
fn an_engine_that_says_it_leaves_gets_nothing_later() {
    let system = system(2, INTERVAL, &bounds());
    let mut stream = open_chat(&system, TOKENS);
    let mut answer = read_until(&mut stream, "id: 5\n");
    let first = busy_engine(&system);
    first.start_announcing();
    // This stream's head came before; the next request to the engine names the leaving.
    for _ in 0..12 {
        let mut next = open_chat(&system, 3);
        read_all(&mut next);
    }
    expect_that!(first.accepted_count(), le(2));
    let accepted = first.accepted_count();
    let other = system.engines.iter().find(|e| e.running() == 0);
    let mut resumed = open_chat(&system, TOKENS);
    let mut second = read_until(&mut resumed, "id: 5\n");
    other.expect("an idle engine").crash();
    second.push_str(&read_all(&mut resumed));
    answer.push_str(&read_all(&mut stream));
    expect_complete(&answer);
    expect_complete(&second);
    expect_that!(first.accepted_count(), eq(accepted));
    system.drain();
}
