//! Tests of invalid requests: each gets a clear error, and valid requests are served meanwhile.

mod support;

use std::io::Write;
use std::time::Duration;

use azureway_config::ini;
use azureway_config::settings::Bounds;
use azureway_dev::serve::System;
use googletest::prelude::*;
use support::{KEY, chat, exchange, open, post, read_all, system};

/// The cases, in the format that the head of the file describes.
const CASES: &str = include_str!("../testdata/bad_input.ini");
/// The number of silent connections, as in the reported issue.
const SILENT: usize = 500;

/// Returns bounds that are reached soon.
fn bounds() -> Bounds {
    Bounds {
        request_timeout: Duration::from_millis(300),
        body_bytes: 1_024,
        ..Bounds::new()
    }
}

fn start() -> System {
    system(1, Duration::ZERO, &bounds())
}

/// Returns the bytes that a case's text stands for.
fn expand(text: &str) -> Vec<u8> {
    let text = text
        .replace("KEY", KEY)
        .replace("FILL2048", &"x".repeat(2_048));
    let headers: String = (0..100).map(|n| format!("x-{n}: 1\r\n")).collect();
    text.replace("\\r", "\r")
        .replace("\\n", "\n")
        .replace("HEADERS100\r\n", &headers)
        .into_bytes()
}

/// Returns whether a valid chat request succeeds.
fn serves(system: &System) -> bool {
    post(system, "/v1/chat/completions", &chat(false, 1)).status_code == 200
}

#[gtest]
fn each_invalid_request_gets_the_listed_error() {
    let system = start();
    for case in ini::parse(CASES).expect("the table is good") {
        let text = |key| case.get(key).map_or("", |e| e.value);
        let answer = exchange(&system, &expand(text("send")), text("shut") == "yes");
        let status = format!("HTTP/1.1 {} ", text("status"));
        expect_that!(answer, starts_with(status), "{}", case.name);
        let code = format!("\"code\":\"{}\"", text("code"));
        expect_that!(answer, contains_substring(code), "{}", case.name);
        expect_that!(
            answer,
            contains_substring("\"not_run\":true"),
            "{}",
            case.name
        );
        expect_true!(serves(&system));
    }
    expect_that!(system.plain_services[0].run_counts().max_runs(), eq(0));
    system.drain();
}

#[gtest]
fn a_request_head_of_64_mib_is_refused() {
    let system = start();
    let mut head = b"GET /healthz HTTP/1.1\r\nx-long: ".to_vec();
    head.resize(64 * 1024 * 1024, b'a');
    let answer = exchange(&system, &head, true);
    expect_that!(answer, starts_with("HTTP/1.1 431 "));
    expect_true!(serves(&system));
    system.drain();
}

#[gtest]
fn silent_connections_time_out_and_other_callers_are_served() {
    let system = start();
    let mut silent: Vec<_> = (0..SILENT).map(|_| open(&system)).collect();
    silent
        .iter_mut()
        .for_each(|s| s.write_all(b"GET /heal").expect("sent"));
    expect_true!(serves(&system));
    for stream in &mut silent {
        expect_that!(read_all(stream), starts_with("HTTP/1.1 408 "));
    }
    system.drain();
}

#[gtest]
fn connections_above_the_limit_are_refused_as_not_run() {
    let bounds = Bounds {
        connections: 2,
        ..bounds()
    };
    let system = system(1, Duration::ZERO, &bounds);
    let held: Vec<_> = (0..2).map(|_| open(&system)).collect();
    let refused = read_all(&mut open(&system));
    expect_that!(refused, starts_with("HTTP/1.1 503 "));
    expect_that!(refused, contains_substring("\"not_run\":true"));
    drop(held);
    system.drain();
}
