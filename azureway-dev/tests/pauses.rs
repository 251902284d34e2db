//! Tests of engines that ask an entry for a pause, over sockets.

mod support;

use std::time::{Duration, Instant};

use azureway_config::settings::Bounds;
use azureway_dev::serve::System;
use googletest::prelude::*;
use support::{TEST_TIMEOUT, chat, open_chat, post, read_all, read_until, system};

/// A pause, in milliseconds, that no test outlasts.
const LONG: &str = "60000";

fn start(engines: usize) -> System {
    system(engines, Duration::from_millis(1), &Bounds::new())
}

fn ask(system: &System) -> u16 {
    let answer = post(system, "/v1/chat/completions", &chat(true, 3));
    answer.status_code
}

/// Asks until the engine has got one more request, which is expected to be refused by it.
fn ask_until_arrival(system: &System, engine: usize) {
    let (start, before) = (Instant::now(), system.engines[engine].arrival_count());
    while system.engines[engine].arrival_count() == before {
        assert!(start.elapsed() < TEST_TIMEOUT, "no request arrives");
        expect_that!(ask(system), eq(200));
    }
}

/// Guards against requests that reach an engine during the pause that it asked for, and against
/// callers that notice.
#[gtest]
fn an_engine_gets_nothing_during_its_pause() {
    let system = start(2);
    // The engine that gets a request with this prompt is asked for a pause.
    ask(&system);
    let engine = usize::from(system.engines[1].arrival_count() > 0);
    system.engines[engine].ask_pause(LONG);
    ask_until_arrival(&system, engine);
    let before = system.engines[engine].arrival_count();
    for _ in 0..30 {
        expect_that!(ask(&system), eq(200));
    }
    let after = system.engines[engine].arrival_count();
    expect_that!(after, eq(before));
    // A new incarnation has asked for nothing.
    system.engines[engine].crash();
    ask_until_arrival(&system, engine);
    system.drain();
}

/// Guards against a stream that is resumed at an engine that wants nothing, rather than a little later at
/// the one that crashed.
#[gtest]
fn a_stream_is_not_resumed_at_an_engine_that_wants_a_pause() {
    let system = system(2, Duration::from_millis(10), &Bounds::new());
    ask(&system);
    let counts: Vec<u64> = system.engines.iter().map(|e| e.arrival_count()).collect();
    let paused = counts.iter().position(|c| *c > 0).expect("an arrival");
    system.engines[paused].ask_pause(LONG);
    ask_until_arrival(&system, paused);
    let before = system.engines[paused].arrival_count();
    let mut stream = open_chat(&system, 40);
    let mut answer = read_until(&mut stream, "id: 5\n");
    let running = system.engines.iter().find(|e| e.running() > 0);
    running.expect("an engine").crash();
    answer.push_str(&read_all(&mut stream));
    expect_that!(answer, contains_substring("[DONE]"));
    expect_that!(system.engines[paused].arrival_count(), eq(before));
    system.drain();
}

/// Guards against texts that are no pause: the engine is tried again as after any rejection.
#[gtest]
fn a_text_that_is_no_pause_holds_no_engine() {
    for text in [
        "soon",
        "-5",
        "0",
        "NaN",
        "1.5",
        "Fri, 04 Dec 2026 22:00:00 GMT",
    ] {
        let system = start(1);
        ask(&system);
        let engine = &system.engines[0];
        engine.ask_pause(text);
        let before = engine.arrival_count();
        expect_that!(ask(&system), eq(503), "{text}");
        expect_that!(engine.arrival_count(), ge(before + 4), "{text}");
        system.drain();
    }
}
