//! Tests over sockets that a call runs at most once, with entry instances in two zones, the
//! platform and a plain service.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;

use azureway_config::settings::Bounds;
use azureway_dev::engine::EngineConfig;
use azureway_dev::platform::PlatformFaults;
use azureway_dev::serve::{Layout, System};
use azureway_wire::error::{ErrorBody, ErrorDetail};
use googletest::prelude::*;

/// The bound on a wait, in seconds, so that a failing test cannot hang. No passing test depends on
/// its value.
const TEST_TIMEOUT: u64 = 60;

/// The bound on repeated requests, so that a failing test cannot hang.
const MAX_RESENDS: u32 = 10_000;

fn layout() -> Layout {
    Layout::new()
        .with_zones(&["kranj-a", "koper-a"])
        .with_engines(1)
        .with_entries(1)
}

fn system(layout: &Layout) -> System {
    let system = System::start(layout, &EngineConfig::new(), &Bounds::new()).expect("a system");
    system.wait_ready();
    system
}

fn send_order(address: SocketAddr, key: &str) -> minreq::Response {
    send(address, "new", key)
}

fn send(address: SocketAddr, path: &str, key: &str) -> minreq::Response {
    let request = minreq::post(format!("http://{address}/services/orders/{path}"));
    post(request, key, "20 m2 of cork")
}

fn send_body(address: SocketAddr, key: &str, body: &str) -> minreq::Response {
    let url = format!("http://{address}/services/orders/new");
    post(minreq::post(url), key, body)
}

fn post(request: minreq::Request, key: &str, body: &str) -> minreq::Response {
    let request = request.with_timeout(TEST_TIMEOUT).with_body(body);
    request
        .with_header("authorization", "Bearer wax-desk-key")
        .with_header("idempotency-key", key)
        .send()
        .expect("an answer")
}

/// Repeats a request until no earlier request with the same key counts as running.
fn resend_until_settled(send: impl Fn() -> minreq::Response) -> minreq::Response {
    let answers = (0..MAX_RESENDS).map(|_| send());
    let settled = answers.into_iter().find(|a| a.status_code != 409);
    settled.expect("the earlier request ends")
}

fn error(answer: &minreq::Response) -> ErrorDetail {
    let body: ErrorBody = serde_json::from_slice(answer.as_bytes()).expect("an error");
    body.error
}

fn runs(system: &System, key: &str) -> u32 {
    system
        .plain_services
        .iter()
        .map(|p| p.run_counts().runs(key))
        .sum()
}

#[gtest]
fn a_request_repeated_in_another_zone_gets_the_stored_answer() {
    let system = system(&layout());
    let first = send_order(system.addresses()[0], "key-1");
    expect_that!(first.status_code, eq(200));
    // The claim is closed only after the answer is written; until then the request counts as
    // running.
    let again = resend_until_settled(|| send_order(system.addresses()[1], "key-1"));
    expect_that!(again.status_code, eq(200));
    expect_that!(again.as_bytes(), eq(first.as_bytes()));
    expect_that!(runs(&system, "key-1"), eq(1));
    system.drain();
}

#[gtest]
fn a_request_whose_answer_was_lost_is_not_run_again_in_another_zone() {
    let system = system(&layout());
    system.plain_services[0].lose_answers(1);
    let first = send_order(system.addresses()[0], "key-2");
    expect_that!(error(&first).not_run, eq(false));
    let again = send_order(system.addresses()[1], "key-2");
    expect_that!(error(&again).code, eq("duplicate"));
    expect_that!(error(&again).not_run, eq(false));
    expect_that!(runs(&system, "key-2"), eq(1));
    system.drain();
}

#[gtest]
fn concurrent_requests_with_one_key_in_two_zones_run_once() {
    let system = system(&layout());
    let addresses = system.addresses();
    for round in 0..20 {
        let key = format!("key-3-{round}");
        thread::scope(|s| {
            for address in &addresses {
                s.spawn(|| send_order(*address, &key));
            }
        });
        expect_that!(runs(&system, &key), eq(1));
    }
    system.drain();
}

#[gtest]
fn a_key_reused_for_another_path_is_refused_as_a_duplicate() {
    let system = system(&layout());
    expect_that!(
        send_order(system.addresses()[0], "key-7").status_code,
        eq(200)
    );
    let other = send(system.addresses()[1], "cancel", "key-7");
    expect_that!(error(&other).code, eq("duplicate"));
    expect_that!(runs(&system, "key-7"), eq(1));
    system.drain();
}

#[gtest]
fn a_caller_that_disconnected_gets_the_answer_when_it_repeats_the_request() {
    let system = system(&layout());
    let mut caller = TcpStream::connect(system.addresses()[0]).expect("a connection");
    let head = "POST /services/orders/new HTTP/1.1\r\nhost: a\r\n\
                authorization: Bearer wax-desk-key\r\nidempotency-key: key-8\r\n\
                content-length: 14\r\n\r\n20 m2 of cork";
    caller.write_all(head.as_bytes()).expect("sent");
    caller.write_all(b".").expect("sent");
    drop(caller);
    let again =
        resend_until_settled(|| send_body(system.addresses()[1], "key-8", "20 m2 of cork."));
    expect_that!(again.status_code, eq(200));
    expect_that!(runs(&system, "key-8"), eq(1));
    system.drain();
}

#[gtest]
fn a_claim_whose_answer_is_lost_is_recognised_as_its_own() {
    let system = system(&layout());
    system.platform.set_faults(PlatformFaults {
        lost_answers: 1,
        ..PlatformFaults::new()
    });
    let answer = send_order(system.addresses()[0], "key-4");
    expect_that!(answer.status_code, eq(200));
    expect_that!(runs(&system, "key-4"), eq(1));
    system.drain();
}

#[gtest]
fn a_request_that_needs_a_claim_is_refused_as_not_run_in_an_outage() {
    let system = system(&layout());
    system.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::new()
    });
    let answer = send_order(system.addresses()[0], "key-5");
    expect_that!(answer.status_code, eq(503));
    expect_that!(error(&answer).code, eq("claim_unavailable"));
    expect_that!(error(&answer).not_run, eq(true));
    expect_that!(runs(&system, "key-5"), eq(0));
    system.platform.set_faults(PlatformFaults::new());
    expect_that!(
        send_order(system.addresses()[1], "key-5").status_code,
        eq(200)
    );
    system.drain();
}

#[gtest]
fn a_service_that_deduplicates_itself_is_served_in_an_outage() {
    let system = system(&layout().with_deduplication());
    system.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::new()
    });
    let answer = send_order(system.addresses()[0], "key-6");
    expect_that!(answer.status_code, eq(200));
    let again = send_order(system.addresses()[1], "key-6");
    expect_that!(again.status_code, eq(409));
    expect_that!(system.plain_services[0].run_counts().runs("key-6"), eq(1));
    system.platform.set_faults(PlatformFaults::new());
    system.drain();
}
