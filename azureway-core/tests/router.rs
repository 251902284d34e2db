//! The router as a whole: what goes out for what came in.

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
    let again = bench.tell(Event::Failed(&broken));
    let second = orders(&again)[0];
    expect_that!(second.position, eq(StreamPosition::new(7)));
    expect_that!(second.server, not(eq(&first.server)));
    expect_that!(second.attempt.number, eq(2));
}

#[gtest]
fn a_request_that_may_have_run_is_not_sent_twice_if_it_may_not_repeat() {
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
fn a_refusal_after_an_earlier_try_may_have_run_does_not_say_not_run() {
    let mut bench = Bench::new(2, 4);
    let request = bench.request("small", &["house"]);
    let sent = bench.tell(Event::Arrived(&request));
    let first = orders(&sent)[0].clone();
    let broken = failure(&first, FailureKind::Broken, SendState::MaybeRun, 0);
    let again = bench.tell(Event::Failed(&broken));
    let second = orders(&again)[0].clone();
    let unreachable = failure(&second, FailureKind::Unreachable, SendState::Unsent, 0);
    expect_that!(bench.tell(Event::Failed(&unreachable)), is_empty());
    let after = bench.pass(Duration::from_secs(11));
    expect_that!(refusals(&after)[0].not_run, eq(false));
}

#[gtest]
fn streams_that_find_no_server_at_once_wait_for_one() {
    let mut bench = Bench::new(2, 2);
    let requests: Vec<_> = (0..4).map(|_| bench.request("small", &["house"])).collect();
    let sent: Vec<_> = requests
        .iter()
        .flat_map(|r| bench.tell(Event::Arrived(r)))
        .collect();
    let sent: Vec<Dispatch> = orders(&sent).into_iter().cloned().collect();
    let lost: Vec<_> = sent.iter().filter(|o| o.server == sent[0].server).collect();
    for order in &lost {
        let broken = failure(order, FailureKind::Broken, SendState::MaybeRun, 5);
        // Peers hear of the break; nothing is sent or refused.
        let told = bench.tell(Event::Failed(&broken));
        expect_that!(told, each(pat!(Action::BroadcastStrike(_))));
    }
    let rest = sent
        .iter()
        .find(|o| o.server != sent[0].server)
        .expect("another server");
    let finish = Finish {
        attempt: rest.attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::ZERO,
    };
    let after = bench.tell(Event::Finished(&finish));
    expect_that!(orders(&after)[0].position, eq(StreamPosition::new(5)));
    expect_that!(orders(&after)[0].server, eq(&rest.server));
    let trial = bench.pass(Duration::from_millis(2_001));
    expect_that!(orders(&trial).len(), eq(1));
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
    let busy: Vec<_> = orders(&sent).into_iter().cloned().collect();
    let mut again = 0;
    for order in &busy {
        let failed = failure(order, FailureKind::Mismatch, SendState::Rejected, 0);
        again += orders(&bench.tell(Event::Failed(&failed))).len();
    }
    // Ten were saved up, and thirty requests earn a fifth each; the cap loses the latter.
    expect_that!(again, eq(10));
    expect_that!(
        orders(&bench.pass(Duration::from_millis(1_001))).len(),
        eq(1)
    );
}

#[gtest]
fn a_silent_connection_is_not_held_against_its_server() {
    let mut bench = Bench::new(1, 4);
    let request = bench.request("small", &["house"]);
    let sent = bench.tell(Event::Arrived(&request));
    let silent = failure(
        orders(&sent)[0],
        FailureKind::Silent,
        SendState::MaybeRun,
        3,
    );
    let again = bench.tell(Event::Failed(&silent));
    expect_that!(orders(&again)[0].position, eq(StreamPosition::new(3)));
}

#[gtest]
fn news_of_an_earlier_try_changes_nothing() {
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
fn what_waits_past_its_deadline_is_refused_as_not_run() {
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
fn a_draining_router_refuses_new_work_and_finishes_the_old() {
    let mut bench = Bench::new(1, 1);
    let (old, new) = (
        bench.request("small", &["a"]),
        bench.request("small", &["b"]),
    );
    let sent = bench.tell(Event::Arrived(&old));
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
fn an_older_configuration_never_comes_back() {
    let mut bench = Bench::new(1, 1);
    let newer = support::fleet(2, 1).with_version(ConfigVersion::new(5));
    bench.tell(Event::Configured(&newer));
    let older = support::fleet(1, 1).with_version(ConfigVersion::new(4));
    bench.tell(Event::Configured(&older));
    expect_that!(bench.router.fleet().version, eq(ConfigVersion::new(5)));
    expect_that!(bench.router.fleet().servers.len(), eq(2));
}

#[gtest]
fn a_router_that_waits_for_a_suspected_server_does_not_spin() {
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
    let wakeup = bench.router.next_wakeup().expect("something waits");
    expect_that!(wakeup, gt(bench.now));
    bench.now = wakeup + Duration::from_micros(1);
    let sent = bench.tell(Event::Tick);
    expect_that!(orders(&sent).len(), eq(1));
}
