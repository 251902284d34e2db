//! Tests of the whole request path over sockets: caller, entry instance and simulated server.

mod support;

use std::time::Duration;

use azureway_config::settings::Bounds;
use azureway_dev::serve::System;
use azureway_wire::error::ErrorBody;
use googletest::prelude::*;
use support::{chat, positions, post};

fn system() -> System {
    support::system(2, Duration::from_millis(1), &Bounds::new())
}

#[gtest]
fn a_stream_arrives_complete_and_in_order() {
    let system = system();
    let answer = post(&system, "/v1/chat/completions", &chat(true, 5));
    expect_that!(answer.status_code, eq(200));
    let text = answer.as_str().expect("text").to_owned();
    expect_that!(positions(&text), eq(&(0..7).collect::<Vec<u64>>()));
    expect_that!(text.trim_end(), ends_with("data: [DONE]"));
    system.drain();
}

#[gtest]
fn an_answer_that_is_not_streamed_has_all_tokens_and_the_usage() {
    let system = system();
    let answer = post(&system, "/v1/chat/completions", &chat(false, 5));
    let body: serde_json::Value = serde_json::from_slice(answer.as_bytes()).expect("JSON");
    let content = body["choices"][0]["message"]["content"]
        .as_str()
        .expect("content");
    expect_that!(content.split_whitespace().count(), eq(5));
    expect_that!(body["usage"]["completion_tokens"].as_u64(), some(eq(5)));
    system.drain();
}

#[gtest]
fn a_plain_call_whose_answer_is_lost_runs_once_and_is_reported_as_possibly_run() {
    let system = system();
    system.plain_services[0].lose_answers(1);
    let answer = post(&system, "/services/orders/new", "order 17");
    expect_that!(answer.status_code, eq(502));
    let body: ErrorBody = serde_json::from_slice(answer.as_bytes()).expect("an error");
    expect_that!(body.error.not_run, eq(false));
    expect_that!(
        system.plain_services[0].run_counts().runs("order 17"),
        eq(1)
    );
    system.drain();
}
