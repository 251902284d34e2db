//! Tests that the simulated engine meets the contract on which entry instances rely.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_dev::engine::{Engine, EngineConfig};
use azureway_dev::http::HttpServer;
use azureway_wire::engine::{FeedBody, KvBlocks};
use azureway_wire::header;
use googletest::prelude::*;

const BODY: &str =
    r#"{"model":"advice","max_tokens":3,"messages":[{"role":"system","content":"House rules"}]}"#;

fn start(config: EngineConfig) -> (Arc<Engine>, HttpServer) {
    let engine = Arc::new(Engine::new(config.with_token_interval(Duration::ZERO)));
    let server = HttpServer::start(Arc::clone(&engine)).expect("a port");
    (engine, server)
}

fn send_chat(server: &HttpServer, headers: &[(&str, &str)]) -> minreq::Response {
    let url = format!("http://{}/v1/chat/completions", server.address());
    let defaults = [(header::WEIGHTS, "1"), (header::SALT, "7")];
    let missing = defaults
        .iter()
        .filter(|(d, _)| headers.iter().all(|(name, _)| name != d));
    let request = minreq::post(url).with_timeout(60).with_body(BODY);
    let with = |r: minreq::Request, (name, value): &(&str, &str)| r.with_header(*name, *value);
    missing
        .chain(headers)
        .fold(request, with)
        .send()
        .expect("an answer")
}

fn poll(server: &HttpServer, query: &str) -> FeedBody {
    let url = format!("http://{}/v1/news?{query}", server.address());
    let answer = minreq::get(url).with_timeout(60).send().expect("an answer");
    serde_json::from_slice(answer.as_bytes()).expect("a report")
}

/// Returns the number of cached prompt tokens that an answer reports.
fn cached_tokens(answer: &minreq::Response) -> String {
    let text = answer.as_str().expect("text").to_owned();
    let rest = text
        .split("\"cached_tokens\":")
        .nth(1)
        .expect("usage")
        .to_owned();
    rest.split('}').next().expect("a number").to_owned()
}

#[gtest]
fn a_request_for_other_weights_or_another_incarnation_is_refused_before_it_runs() {
    let (engine, server) = start(EngineConfig::new());
    expect_that!(
        send_chat(&server, &[(header::WEIGHTS, "2")]).status_code,
        eq(409)
    );
    expect_that!(
        send_chat(&server, &[(header::INCARNATION, "9")]).status_code,
        eq(409)
    );
    expect_that!(engine.accepted_count(), eq(0));
    expect_that!(
        send_chat(&server, &[(header::INCARNATION, "1")]).status_code,
        eq(200)
    );
}

#[gtest]
fn a_prompt_is_cached_for_its_salt_only_and_until_a_crash() {
    let (engine, server) = start(EngineConfig::new());
    expect_that!(cached_tokens(&send_chat(&server, &[])), eq("0"));
    expect_that!(cached_tokens(&send_chat(&server, &[])), eq("5"));
    expect_that!(
        cached_tokens(&send_chat(&server, &[(header::SALT, "8")])),
        eq("0")
    );
    engine.crash();
    expect_that!(cached_tokens(&send_chat(&server, &[])), eq("0"));
}

#[gtest]
fn an_answer_resumes_at_the_requested_position() {
    let (_engine, server) = start(EngineConfig::new());
    let (whole, rest) = (
        send_chat(&server, &[]),
        send_chat(&server, &[(header::RESUME, "2")]),
    );
    let (whole, rest) = (whole.as_str().expect("text"), rest.as_str().expect("text"));
    let tail = whole.find("id: 2\n").expect("the position");
    // Only the contents are compared: the cached tokens in the usage differ, since the first
    // request filled the cache.
    let content = |t: &str| {
        t.split("\"content\":\"")
            .skip(1)
            .map(|c| c[..6].to_owned())
            .collect()
    };
    let (expected, found): (Vec<String>, Vec<String>) = (content(&whole[tail..]), content(rest));
    expect_that!(found, eq(&expected));
    expect_that!(rest, starts_with("id: 2\n"));
}

#[gtest]
fn blocks_are_imported_from_another_engine_with_the_same_weights() {
    let ((_one, first), (_two, second)) = (start(EngineConfig::new()), start(EngineConfig::new()));
    send_chat(&first, &[]);
    let from = first.address().to_string();
    expect_that!(
        cached_tokens(&send_chat(&second, &[(header::IMPORT, &from)])),
        eq("5")
    );
    let requested = KvBlocks {
        weights: 2,
        keys: vec!["1".to_owned()],
    };
    let body = serde_json::to_string(&requested).expect("JSON");
    let url = format!("http://{}/v1/kv/export", first.address());
    let answer = minreq::post(url)
        .with_body(body)
        .with_timeout(60)
        .send()
        .expect("an answer");
    let exported: KvBlocks = serde_json::from_slice(answer.as_bytes()).expect("blocks");
    expect_that!(exported.keys, is_empty());
}

#[gtest]
fn events_are_numbered_and_lost_events_leave_a_gap() {
    let (engine, server) = start(EngineConfig::new());
    send_chat(&server, &[]);
    let first = poll(&server, "after=0&wait_ms=0");
    expect_that!(
        (first.first, first.events.len(), first.next_event()),
        eq((0, 1, 1))
    );
    send_chat(&server, &[(header::SALT, "8")]);
    engine.drop_events(2);
    send_chat(&server, &[(header::SALT, "9")]);
    expect_that!(poll(&server, "after=1&wait_ms=0").first, eq(2));
    let snapshot = poll(&server, "after=1&wait_ms=0&whole=true");
    expect_that!(
        (snapshot.whole, snapshot.first, snapshot.events.len()),
        eq((true, 3, 3))
    );
}

#[gtest]
fn an_urgent_request_gets_the_next_slot() {
    let config = EngineConfig::new();
    let mut state = azureway_dev::engine::EngineState::new(&config.with_slots(1));
    let salt = Salt::from_number(7);
    let prompt = PromptBlocks::new(salt, [b"house".as_slice()]);
    let metadata = |rank| azureway_dev::engine::RequestMetadata {
        attempt_id: String::new(),
        salt,
        weights: WeightsVersion::new(1),
        incarnation: None,
        resume_position: 0,
        rank,
        import_from: None,
    };
    let drafting = state.enqueue(&metadata(Rank::Drafting), &prompt);
    let waiting = state.enqueue(&metadata(Rank::Drafting), &prompt);
    expect_true!(state.take_slot(&drafting));
    let urgent = state.enqueue(&metadata(Rank::Urgent), &prompt);
    state.remove(&drafting, drafting.uncached);
    expect_false!(state.take_slot(&waiting));
    expect_true!(state.take_slot(&urgent));
    expect_that!(state.pending, eq(waiting.uncached + urgent.uncached));
}
