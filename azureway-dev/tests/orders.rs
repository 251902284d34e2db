//! Tests of orders to engines over sockets: a rollout, and engines with and without fencing.

mod support;

use std::sync::Arc;

use azureway_config::settings::Bounds;
use azureway_core::prelude::WeightsVersion;
use azureway_dev::engine::{Engine, EngineConfig};
use azureway_dev::http::HttpServer;
use azureway_dev::serve::{Layout, System};
use googletest::prelude::*;
use support::{TEST_TIMEOUT, chat, post};

/// Sends an order to an engine and returns the response status.
fn send_order(engine: &HttpServer, weights: u64, fencing: u64) -> u16 {
    let url = format!("http://{}/v1/orders", engine.address());
    let body = format!(r#"{{"weights":{weights},"fencing":{fencing},"config":1}}"#);
    let request = minreq::post(url).with_timeout(TEST_TIMEOUT.as_secs());
    request
        .with_body(body)
        .send()
        .expect("an answer")
        .status_code
}

#[gtest]
fn new_weights_are_rolled_out_by_one_lease_holder_and_served() {
    let layout = Layout::new()
        .with_zones(&["kranj-a", "koper-a"])
        .with_engines(2);
    let config = EngineConfig::new().with_load_time(std::time::Duration::from_millis(100));
    let system = System::start(&layout, &config, &Bounds::new()).expect("a system");
    system.wait_ready();
    let old = "[service advice]\npool = engines\n";
    let new = format!("{old}weights = 2\n");
    system
        .platform
        .seed("config", "document", &system.document.replace(old, &new));
    let (target, mut orders) = (WeightsVersion::new(2), Vec::new());
    for engine in &system.engines {
        engine.wait_timeout(TEST_TIMEOUT, |s| s.weights != target);
        orders.extend(engine.update(|s| s.orders.accepted().to_vec()));
    }
    expect_that!(orders.iter().all(|(w, _)| *w == target), eq(true));
    expect_that!(orders.iter().all(|(_, n)| *n == orders[0].1), eq(true));
    let answer = post(&system, "/v1/chat/completions", &chat(false, 3));
    expect_that!(answer.status_code, eq(200));
    system.drain();
}

#[gtest]
fn only_an_engine_with_fencing_refuses_an_outdated_fencing_number() {
    for (config, expected) in [
        (EngineConfig::new().with_fencing(), 409),
        (EngineConfig::new(), 202),
    ] {
        let engine = Arc::new(Engine::new(config));
        let server = HttpServer::start(Arc::clone(&engine)).expect("a server");
        expect_that!(send_order(&server, 2, 7), eq(202));
        engine.wait_timeout(TEST_TIMEOUT, |s| s.weights != WeightsVersion::new(2));
        expect_that!(send_order(&server, 1, 6), eq(expected));
    }
}
