//! The router as a whole: what goes out for what came in.

mod support;

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
    let after = bench.tell(Event::Failed(&unreachable));
    expect_that!(refusals(&after)[0].not_run, eq(false));
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
    let late = bench.pass(std::time::Duration::from_secs(11));
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
    bench.now = wakeup + std::time::Duration::from_micros(1);
    let sent = bench.tell(Event::Tick);
    expect_that!(orders(&sent).len(), eq(1));
}
