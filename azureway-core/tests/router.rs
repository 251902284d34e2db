//! The actions that the router returns for sequences of events.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{Bench, failure, orders, refusals};

#[gtest]
fn a_broken_stream_resumes_at_its_position_on_another_server() {
    let mut bench = Bench::new(2, 4);
    let request = bench.request("small", &["house", "shop"]);
    let sent = bench.tell(Event::Arrived(&request));
    let first = orders(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 7);
    let retried = bench.tell(Event::Failed(&broken));
    let second = orders(&retried)[0];
    expect_that!(second.position, eq(StreamPosition::new(7)));
    expect_that!(second.server, not(eq(&first.server)));
    expect_that!(second.attempt.number, eq(2));
}

#[gtest]
fn an_at_most_once_request_that_may_have_run_is_not_retried() {
    let mut bench = Bench::new(2, 4);
    let mut request = bench.request("small", &["order"]);
    request.kind = RequestKind::AtMostOnce;
    let sent = bench.tell(Event::Arrived(&request));
    let first = orders(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Silent, SendState::MaybeRun, 0);
    let after = bench.tell(Event::Failed(&broken));
    expect_that!(orders(&after), is_empty());
    expect_that!(refusals(&after)[0].not_run, eq(false));
}

#[gtest]
fn a_refusal_does_not_say_not_run_if_an_earlier_attempt_may_have_run() {
    let mut bench = Bench::new(2, 4);
    let request = bench.request("small", &["house"]);
    let sent = bench.tell(Event::Arrived(&request));
    let first = orders(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 0);
    let retried = bench.tell(Event::Failed(&broken));
    let second = orders(&retried)[0].clone();
    let unreachable = failure(&second, FailureKind::Unreachable, SendState::Unsent, 0);
    expect_that!(bench.tell(Event::Failed(&unreachable)), is_empty());
    let after = bench.pass(Duration::from_secs(11));
    expect_that!(refusals(&after)[0].not_run, eq(false));
}

#[gtest]
fn broken_streams_wait_for_a_free_slot_to_resume() {
    let mut bench = Bench::new(2, 2);
    let requests: Vec<_> = (0..4).map(|_| bench.request("small", &["house"])).collect();
    let sent: Vec<_> = requests
        .iter()
        .flat_map(|r| bench.tell(Event::Arrived(r)))
        .collect();
    let sent: Vec<Dispatch> = orders(&sent).into_iter().cloned().collect();
    let lost: Vec<_> = sent.iter().filter(|d| d.server == sent[0].server).collect();
    for dispatch in &lost {
        let broken = failure(dispatch, FailureKind::Broken, SendState::MaybeRun, 5);
        // The strike is broadcast to peers, and nothing is dispatched or refused.
        let actions = bench.tell(Event::Failed(&broken));
        expect_that!(actions, each(pat!(Action::BroadcastStrike(_))));
    }
    let rest = sent
        .iter()
        .find(|d| d.server != sent[0].server)
        .expect("another server");
    let finish = Finish {
        attempt: rest.attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::ZERO,
    };
    let after = bench.tell(Event::Finished(&finish));
    expect_that!(orders(&after)[0].position, eq(StreamPosition::new(5)));
    expect_that!(orders(&after)[0].server, eq(&rest.server));
    let after_suspicion = bench.pass(Duration::from_millis(2_001));
    expect_that!(orders(&after_suspicion).len(), eq(1));
}

#[gtest]
fn retries_beyond_the_budget_wait_for_its_refill() {
    let mut bench = Bench::new(2, 100);
    let requests: Vec<_> = (0..30)
        .map(|_| bench.request("small", &["house"]))
        .collect();
    let sent: Vec<_> = requests
        .iter()
        .flat_map(|r| bench.tell(Event::Arrived(r)))
        .collect();
    let dispatches: Vec<_> = orders(&sent).into_iter().cloned().collect();
    let mut retried = 0;
    for dispatch in &dispatches {
        let failed = failure(dispatch, FailureKind::Mismatch, SendState::Rejected, 0);
        retried += orders(&bench.tell(Event::Failed(&failed))).len();
    }
    // The budget starts full with ten retries, so its cap discards what the thirty requests earn
    // at a fifth of a retry each.
    expect_that!(retried, eq(10));
    expect_that!(
        orders(&bench.pass(Duration::from_millis(1_001))).len(),
        eq(1)
    );
}

#[gtest]
fn a_silent_connection_does_not_make_its_server_suspect() {
    let mut bench = Bench::new(1, 4);
    let request = bench.request("small", &["house"]);
    let sent = bench.tell(Event::Arrived(&request));
    let silent = failure(
        orders(&sent)[0],
        FailureKind::Silent,
        SendState::MaybeRun,
        3,
    );
    let retried = bench.tell(Event::Failed(&silent));
    expect_that!(orders(&retried)[0].position, eq(StreamPosition::new(3)));
}

#[gtest]
fn events_of_a_stale_attempt_are_ignored() {
    let mut bench = Bench::new(2, 4);
    let request = bench.request("small", &["house"]);
    let sent = bench.tell(Event::Arrived(&request));
    let first = orders(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 0);
    bench.tell(Event::Failed(&broken));
    let late = Finish {
        attempt: first.attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::ZERO,
    };
    bench.tell(Event::Finished(&late));
    expect_that!(bench.tell(Event::Failed(&broken)), is_empty());
    expect_that!(bench.router.active(), eq(1));
}

#[gtest]
fn a_queued_request_past_its_deadline_is_refused_as_not_run() {
    let mut bench = Bench::new(1, 1);
    let (running, waiting) = (
        bench.request("small", &["a"]),
        bench.request("small", &["b"]),
    );
    bench.tell(Event::Arrived(&running));
    expect_that!(bench.tell(Event::Arrived(&waiting)), is_empty());
    let late = bench.pass(Duration::from_secs(11));
    expect_that!(refusals(&late)[0].reason, eq(RefusalReason::Deadline));
    expect_that!(refusals(&late)[0].not_run, eq(true));
}

#[gtest]
fn a_draining_router_refuses_new_requests_and_completes_those_in_flight() {
    let mut bench = Bench::new(1, 1);
    let (running, new) = (
        bench.request("small", &["a"]),
        bench.request("small", &["b"]),
    );
    let sent = bench.tell(Event::Arrived(&running));
    bench.tell(Event::Draining);
    let refused = bench.tell(Event::Arrived(&new));
    expect_that!(refusals(&refused)[0].reason, eq(RefusalReason::Draining));
    expect_that!(bench.router.active(), eq(1));
    let attempt = orders(&sent)[0].attempt;
    let finish = Finish {
        attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::new(1),
    };
    bench.tell(Event::Finished(&finish));
    expect_that!(bench.router.active(), eq(0));
}

#[gtest]
fn an_older_configuration_is_ignored() {
    let mut bench = Bench::new(1, 1);
    let newer = support::fleet(2, 1).with_version(ConfigVersion::new(5));
    bench.tell(Event::Configured(&newer));
    let older = support::fleet(1, 1).with_version(ConfigVersion::new(4));
    bench.tell(Event::Configured(&older));
    expect_that!(bench.router.fleet().version, eq(ConfigVersion::new(5)));
    expect_that!(bench.router.fleet().servers.len(), eq(2));
}

#[gtest]
fn a_router_that_waits_for_a_suspect_server_does_not_spin() {
    let mut bench = Bench::new(1, 1);
    let request = bench.request("small", &["a"]);
    let sent = bench.tell(Event::Arrived(&request));
    let broken = failure(
        orders(&sent)[0],
        FailureKind::Faulty,
        SendState::MaybeRun,
        0,
    );
    bench.tell(Event::Failed(&broken));
    let waiting = bench.request("small", &["b"]);
    bench.tell(Event::Arrived(&waiting));
    let wakeup = bench.router.next_wakeup().expect("a request is queued");
    expect_that!(wakeup, gt(bench.now));
    bench.now = wakeup + Duration::from_micros(1);
    let sent = bench.tell(Event::Tick);
    expect_that!(orders(&sent).len(), eq(1));
}
