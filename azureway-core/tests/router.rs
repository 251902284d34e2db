//! Tests of the actions that the router returns for sequences of events.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure, refusals};

#[gtest]
fn a_broken_stream_resumes_at_its_position_on_another_server() {
    let mut fixture = RouterFixture::new(2, 4);
    let request = fixture.request("small", &["house", "shop"]);
    let sent = fixture.handle(Event::Arrived(&request));
    let first = dispatches(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 7);
    let retried = fixture.handle(Event::Failed(&broken));
    let second = dispatches(&retried)[0];
    expect_that!(second.position, eq(StreamPosition::new(7)));
    expect_that!(second.server, not(eq(&first.server)));
    expect_that!(second.attempt.number, eq(2));
}

#[gtest]
fn an_at_most_once_request_that_may_have_run_is_not_retried() {
    let mut fixture = RouterFixture::new(2, 4);
    let mut request = fixture.request("small", &["order"]);
    request.kind = RequestKind::AtMostOnce;
    let sent = fixture.handle(Event::Arrived(&request));
    let first = dispatches(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Silent, SendState::MaybeRun, 0);
    let after = fixture.handle(Event::Failed(&broken));
    expect_that!(dispatches(&after), is_empty());
    expect_that!(refusals(&after)[0].not_run, eq(false));
}

#[gtest]
fn a_refusal_does_not_say_not_run_if_an_earlier_attempt_may_have_run() {
    let mut fixture = RouterFixture::new(2, 4);
    let request = fixture.request("small", &["house"]);
    let sent = fixture.handle(Event::Arrived(&request));
    let first = dispatches(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 0);
    let retried = fixture.handle(Event::Failed(&broken));
    let second = dispatches(&retried)[0].clone();
    let unreachable = failure(&second, FailureKind::Unreachable, SendState::Unsent, 0);
    expect_that!(fixture.handle(Event::Failed(&unreachable)), is_empty());
    let after = fixture.advance(Duration::from_secs(11));
    expect_that!(refusals(&after)[0].not_run, eq(false));
}

#[gtest]
fn broken_streams_wait_for_a_free_slot_to_resume() {
    let mut fixture = RouterFixture::new(2, 2);
    let requests: Vec<_> = (0..4)
        .map(|_| fixture.request("small", &["house"]))
        .collect();
    let sent: Vec<_> = requests
        .iter()
        .flat_map(|r| fixture.handle(Event::Arrived(r)))
        .collect();
    let sent: Vec<Dispatch> = dispatches(&sent).into_iter().cloned().collect();
    let lost: Vec<_> = sent.iter().filter(|d| d.server == sent[0].server).collect();
    for dispatch in &lost {
        let broken = failure(dispatch, FailureKind::Broken, SendState::MaybeRun, 5);
        // The crash report is broadcast to peers, and nothing is dispatched or refused.
        let actions = fixture.handle(Event::Failed(&broken));
        expect_that!(actions, each(pat!(Action::BroadcastCrashReport(_))));
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
    let after = fixture.handle(Event::Finished(&finish));
    expect_that!(dispatches(&after)[0].position, eq(StreamPosition::new(5)));
    expect_that!(dispatches(&after)[0].server, eq(&rest.server));
    let after_suspicion = fixture.advance(Duration::from_millis(2_001));
    expect_that!(dispatches(&after_suspicion).len(), eq(1));
}

#[gtest]
fn retries_beyond_the_budget_wait_for_its_refill() {
    let mut fixture = RouterFixture::new(2, 100);
    let requests: Vec<_> = (0..30)
        .map(|_| fixture.request("small", &["house"]))
        .collect();
    let sent: Vec<_> = requests
        .iter()
        .flat_map(|r| fixture.handle(Event::Arrived(r)))
        .collect();
    let initial: Vec<_> = dispatches(&sent).into_iter().cloned().collect();
    let mut retried = 0;
    for dispatch in &initial {
        let failed = failure(dispatch, FailureKind::Mismatch, SendState::Rejected, 0);
        retried += dispatches(&fixture.handle(Event::Failed(&failed))).len();
    }
    // The budget starts full with ten retries, so its cap discards what the thirty requests earn
    // at a fifth of a retry each.
    expect_that!(retried, eq(10));
    expect_that!(
        dispatches(&fixture.advance(Duration::from_millis(1_001))).len(),
        eq(1)
    );
}

#[gtest]
fn a_silent_connection_does_not_make_its_server_suspect() {
    let mut fixture = RouterFixture::new(1, 4);
    let request = fixture.request("small", &["house"]);
    let sent = fixture.handle(Event::Arrived(&request));
    let silent = failure(
        dispatches(&sent)[0],
        FailureKind::Silent,
        SendState::MaybeRun,
        3,
    );
    let retried = fixture.handle(Event::Failed(&silent));
    expect_that!(dispatches(&retried)[0].position, eq(StreamPosition::new(3)));
}

#[gtest]
fn events_of_a_stale_attempt_are_ignored() {
    let mut fixture = RouterFixture::new(2, 4);
    let request = fixture.request("small", &["house"]);
    let sent = fixture.handle(Event::Arrived(&request));
    let first = dispatches(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 0);
    fixture.handle(Event::Failed(&broken));
    let late = Finish {
        attempt: first.attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::ZERO,
    };
    fixture.handle(Event::Finished(&late));
    expect_that!(fixture.handle(Event::Failed(&broken)), is_empty());
    expect_that!(fixture.router.active(), eq(1));
}

#[gtest]
fn a_queued_request_past_its_deadline_is_refused_as_not_run() {
    let mut fixture = RouterFixture::new(1, 1);
    let (running, waiting) = (
        fixture.request("small", &["a"]),
        fixture.request("small", &["b"]),
    );
    fixture.handle(Event::Arrived(&running));
    expect_that!(fixture.handle(Event::Arrived(&waiting)), is_empty());
    let late = fixture.advance(Duration::from_secs(11));
    expect_that!(refusals(&late)[0].reason, eq(RefusalReason::Deadline));
    expect_that!(refusals(&late)[0].not_run, eq(true));
}

#[gtest]
fn a_draining_router_refuses_new_requests_and_completes_those_in_flight() {
    let mut fixture = RouterFixture::new(1, 1);
    let (running, new) = (
        fixture.request("small", &["a"]),
        fixture.request("small", &["b"]),
    );
    let sent = fixture.handle(Event::Arrived(&running));
    fixture.handle(Event::Draining);
    let refused = fixture.handle(Event::Arrived(&new));
    expect_that!(refusals(&refused)[0].reason, eq(RefusalReason::Draining));
    expect_that!(fixture.router.active(), eq(1));
    let attempt = dispatches(&sent)[0].attempt;
    let finish = Finish {
        attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::new(1),
    };
    fixture.handle(Event::Finished(&finish));
    expect_that!(fixture.router.active(), eq(0));
}

#[gtest]
fn an_older_configuration_is_ignored() {
    let mut fixture = RouterFixture::new(1, 1);
    let newer = support::fleet(2, 1).with_version(ConfigVersion::new(5));
    fixture.handle(Event::Configured(&newer));
    let older = support::fleet(1, 1).with_version(ConfigVersion::new(4));
    fixture.handle(Event::Configured(&older));
    expect_that!(fixture.router.fleet().version, eq(ConfigVersion::new(5)));
    expect_that!(fixture.router.fleet().servers.len(), eq(2));
}

#[gtest]
fn a_router_that_waits_for_a_suspect_server_does_not_spin() {
    let mut fixture = RouterFixture::new(1, 1);
    let request = fixture.request("small", &["a"]);
    let sent = fixture.handle(Event::Arrived(&request));
    let broken = failure(
        dispatches(&sent)[0],
        FailureKind::Faulty,
        SendState::MaybeRun,
        0,
    );
    fixture.handle(Event::Failed(&broken));
    let waiting = fixture.request("small", &["b"]);
    fixture.handle(Event::Arrived(&waiting));
    let wakeup = fixture.router.next_wakeup().expect("a request is queued");
    expect_that!(wakeup, gt(fixture.now));
    fixture.now = wakeup + Duration::from_micros(1);
    let sent = fixture.handle(Event::Tick);
    expect_that!(dispatches(&sent).len(), eq(1));
}
