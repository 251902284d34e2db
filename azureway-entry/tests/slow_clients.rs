//! Tests of the daemon as a process under crowds of clients that move their bytes slowly. What is checked
//! does not depend on the speed of the machine.

mod chat_process;

use std::sync::{Mutex, MutexGuard, PoisonError};

use azureway_dev::crowd::{FloodKind, FloodServer, OverloadTrial, Pace};
use chat_process::ChatProcess;
use googletest::prelude::*;

/// The memory of the instance in the settings, in megabytes.
const MEMORY: u64 = 40;
/// The descriptors of the instance in the settings.
const FILES: usize = 256;
/// The number of slow clients.
const CROWD: usize = 96;
/// The size of the largest body inside the limits of the platform, in bytes.
const BODY_SIZE: usize = 4 * 1024 * 1024;
/// Half the size of a long stream, in bytes.
const HALF: usize = 6 * 1024 * 1024;

/// Runs the tests of this file one at a time.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets a crowd overload a new process, and checks the process.
fn run(test: &str, start: &[u8], pace: Pace) {
    let _turn = take_turn();
    let server = FloodServer::start("").expect("a server");
    let process = ChatProcess::start(test, server.address(), MEMORY, FILES);
    let (probe, address) = (process.probe(), process.address());
    let ordinary = plain(FloodKind::Short, 0, 0);
    let trial = OverloadTrial::run(probe, address, &server, CROWD, start, pace, &ordinary);
    let trial = trial.expect("the crowd connects");
    println!("{test}: {trial:?}");
    expect_that!(trial.memory, some(le(MEMORY * 1_000_000)));
    expect_that!(trial.descriptors, le(FILES));
    expect_true!(trial.answered);
}

fn request(path: &str, length: usize, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: one\r\nauthorization: Bearer desk-key\r\n\
         content-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns a request for a stream of the model service.
fn chat() -> Vec<u8> {
    let body = format!(
        r#"{{"model":"advice","stream":true,"messages":[{{"role":"user","content":"{}"}}]}}"#,
        FloodKind::Stream.word()
    );
    request("/v1/chat/completions", body.len(), body.as_bytes())
}

/// Returns a request to the plain service with a body of `length` bytes, of which the last `missing` are
/// left out.
fn plain(kind: FloodKind, length: usize, missing: usize) -> Vec<u8> {
    let path = format!("/services/orders/{}", kind.word());
    request(&path, length, &vec![b'a'; length - missing])
}

#[gtest]
fn streams_that_are_read_slowly_from_the_first_byte() {
    run("chat_slow_stream", &chat(), Pace::ReadThenTrickle(0));
}

#[gtest]
fn streams_that_are_read_slowly_after_half() {
    run("chat_slow_half", &chat(), Pace::ReadThenTrickle(HALF));
}

#[gtest]
fn bodies_with_a_length_that_are_read_slowly() {
    let request = plain(FloodKind::Sized, 0, 0);
    run("chat_slow_body", &request, Pace::ReadThenTrickle(0));
}

#[gtest]
fn heads_that_are_sent_slowly() {
    let head = format!("GET /a HTTP/1.1\r\nhost: one\r\nx: {}", "a".repeat(15_000));
    run("chat_slow_heads", head.as_bytes(), Pace::SendTrickle);
}

#[gtest]
fn request_bodies_that_are_sent_slowly() {
    let request = plain(FloodKind::Short, BODY_SIZE, 1_024);
    run("chat_slow_bodies", &request, Pace::SendTrickle);
}

#[gtest]
fn requests_that_follow_an_answer_that_is_not_read() {
    let requests = plain(FloodKind::Sized, 0, 0).repeat(64);
    run("chat_unread_answers", &requests, Pace::ReadThenTrickle(0));
}

#[gtest]
fn long_requests_that_a_server_reads_slowly() {
    let request = plain(FloodKind::SlowRead, BODY_SIZE, 0);
    run("chat_slow_server", &request, Pace::ReadThenTrickle(0));
}
