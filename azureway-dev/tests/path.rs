//! The whole path over sockets: callers, entries, stand-ins.

use azureway_config::settings::Bounds;
use azureway_dev::engine::EngineConfig;
use azureway_dev::serve::{Layout, System};
use azureway_wire::error::ErrorBody;
use googletest::prelude::*;

/// A guard against a hang, in seconds; no test's verdict depends on it.
const GUARD: u64 = 60;

fn system() -> System {
    let layout = Layout::new()
        .with_zones(&["kranj-a"])
        .with_engines(2)
        .with_entries(1);
    let engine = EngineConfig::new().with_interval(std::time::Duration::from_millis(1));
    let system = System::start(&layout, &engine, &Bounds::new()).expect("the system starts");
    system.wait_ready();
    system
}

fn post(system: &System, path: &str, key: &str, body: &str) -> minreq::Response {
    let url = format!("http://{}{path}", system.addresses()[0]);
    let request = minreq::post(url).with_timeout(GUARD).with_body(body);
    request
        .with_header("authorization", format!("Bearer {key}"))
        .send()
        .expect("an answer")
}

fn chat(stream: bool) -> String {
    format!(
        r#"{{"model":"advice","stream":{stream},"max_tokens":5,
            "messages":[{{"role":"system","content":"House rules"}}]}}"#
    )
}

#[gtest]
fn a_stream_arrives_complete_and_in_order() {
    let system = system();
    let answer = post(&system, "/v1/chat/completions", "wax-desk-key", &chat(true));
    expect_that!(answer.status_code, eq(200));
    let text = answer.as_str().expect("text").to_owned();
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|l| l.strip_prefix("id: "))
        .collect();
    expect_that!(ids, eq(&vec!["0", "1", "2", "3", "4", "5", "6"]));
    expect_that!(text.trim_end(), ends_with("data: [DONE]"));
    system.drain();
}

#[gtest]
fn an_answer_that_is_not_streamed_holds_the_same_text() {
    let system = system();
    let answer = post(
        &system,
        "/v1/chat/completions",
        "wax-desk-key",
        &chat(false),
    );
    let body: serde_json::Value = serde_json::from_slice(answer.as_bytes()).expect("JSON");
    let content = body["choices"][0]["message"]["content"]
        .as_str()
        .expect("content");
    expect_that!(content.split_whitespace().count(), eq(5));
    expect_that!(body["usage"]["completion_tokens"].as_u64(), some(eq(5)));
    system.drain();
}

#[gtest]
fn an_order_whose_answer_is_lost_runs_once_and_is_reported_so() {
    let system = system();
    system.plains[0].lose(1);
    let answer = post(&system, "/services/orders/new", "wax-desk-key", "order 17");
    expect_that!(answer.status_code, eq(502));
    let body: ErrorBody = serde_json::from_slice(answer.as_bytes()).expect("an error");
    expect_that!(body.error.not_run, eq(false));
    expect_that!(system.plains[0].ledger().runs("order 17"), eq(1));
    system.drain();
}

#[gtest]
fn refusals_have_one_shape() {
    let system = system();
    let unknown = post(&system, "/v1/chat/completions", "no-key", &chat(true));
    let body: ErrorBody = serde_json::from_slice(unknown.as_bytes()).expect("an error");
    expect_that!(unknown.status_code, eq(401));
    expect_that!(body.error.code, eq("unauthorized"));
    expect_that!(body.error.not_run, eq(true));
    system.drain();
}
