//! What becomes of requests when their instance stops.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure, refusals};

/// The time that the fixtures have left when they begin to close.
const LEFT: Duration = Duration::from_secs(5);

fn close(fixture: &mut RouterFixture) -> Vec<Action> {
    let end = fixture.now + LEFT;
    fixture.handle(Event::Closing(end))
}

/// Creates a request whose time limit ends `limit` from now.
fn limited(fixture: &mut RouterFixture, kind: RequestKind, limit: Duration) -> Request {
    let mut request = fixture.request("small", &["house"]);
    request.kind = kind;
    request.time_limit = Some(fixture.now + limit);
    request
}

/// Each row holds the time limit of a waiting request relative to the end, and whether the request
/// is then still passed on. Guards against requests that a server gets late and that are cut.
#[gtest]
fn a_waiting_request_is_passed_on_only_if_it_ends_in_time() {
    let rows = [
        (LEFT / 5, true),
        (LEFT, true),
        (LEFT + Duration::from_micros(1), false),
        (LEFT * 9, false),
    ];
    for kind in [RequestKind::Repeatable, RequestKind::AtMostOnce] {
        for (limit, passed_on) in rows {
            let mut fixture = RouterFixture::new(1, 1);
            let running = fixture.request("small", &["house"]);
            fixture.handle(Event::Arrived(&running));
            let waiting = limited(&mut fixture, kind, limit);
            fixture.handle(Event::Arrived(&waiting));
            let closing = close(&mut fixture);
            let refused = refusals(&closing);
            expect_that!(refused.len(), eq(usize::from(!passed_on)), "{limit:?}");
            expect_true!(refused.iter().all(|r| r.not_run), "{limit:?}");
            let freed = fixture.handle(Event::CallerDisconnected(running.id));
            let sent = dispatches(&freed).len();
            expect_that!(sent, eq(usize::from(passed_on)), "{limit:?}");
        }
    }
}

/// Each row holds the failure of an attempt after the instance began to close, and the `not_run`
/// statement of the refusal that follows. Guards against attempts that begin late.
#[gtest]
fn a_failed_attempt_is_not_followed_by_another_one_that_may_be_cut() {
    let rows = [
        (FailureKind::Unreachable, SendState::Unsent, true),
        (FailureKind::Busy, SendState::Rejected, true),
        (FailureKind::Broken, SendState::MaybeRun, false),
    ];
    for (kind, sent, not_run) in rows {
        let mut fixture = RouterFixture::new(2, 1);
        let request = limited(&mut fixture, RequestKind::Repeatable, LEFT * 2);
        let dispatch = fixture.handle(Event::Arrived(&request));
        expect_that!(close(&mut fixture), is_empty());
        let failed = failure(dispatches(&dispatch)[0], kind, sent, 0);
        let actions = fixture.handle(Event::Failed(&failed));
        expect_that!(dispatches(&actions), is_empty(), "{kind:?}");
        expect_that!(refusals(&actions).len(), eq(1), "{kind:?}");
        expect_that!(refusals(&actions)[0].not_run, eq(not_run), "{kind:?}");
    }
}

/// Guards against a stream that is given up although its rest may still arrive in time.
#[gtest]
fn a_stream_that_has_begun_is_resumed_until_the_end() {
    let mut fixture = RouterFixture::new(2, 1);
    let request = limited(&mut fixture, RequestKind::Repeatable, LEFT * 2);
    let sent = fixture.handle(Event::Arrived(&request));
    close(&mut fixture);
    let broken = FailureKind::Broken;
    let failed = failure(dispatches(&sent)[0], broken, SendState::MaybeRun, 3);
    let resumed = fixture.handle(Event::Failed(&failed));
    expect_that!(dispatches(&resumed).len(), eq(1));
}

/// Guards against a request that is unfinished at the end and gets no answer.
#[gtest]
fn at_the_end_everything_unfinished_is_refused_once() {
    let mut fixture = RouterFixture::new(1, 1);
    let running = limited(&mut fixture, RequestKind::AtMostOnce, LEFT * 2);
    fixture.handle(Event::Arrived(&running));
    let waiting = limited(&mut fixture, RequestKind::Repeatable, LEFT);
    fixture.handle(Event::Arrived(&waiting));
    close(&mut fixture);
    expect_that!(fixture.router.next_wakeup(), some(le(fixture.now + LEFT)));
    let ended = fixture.advance(LEFT);
    let not_run: Vec<_> = refusals(&ended).iter().map(|r| r.not_run).collect();
    expect_that!(not_run, unordered_elements_are![eq(&true), eq(&false)]);
    let cancelled = ended.iter().filter(|a| matches!(a, Action::Cancel(_)));
    expect_that!(cancelled.count(), eq(1));
    expect_that!(fixture.router.active(), eq(0));
    expect_that!(fixture.router.next_wakeup(), none());
}

#[gtest]
fn a_closing_router_refuses_new_requests() {
    let mut fixture = RouterFixture::new(1, 1);
    close(&mut fixture);
    let new = fixture.request("small", &["house"]);
    let refused = fixture.handle(Event::Arrived(&new));
    expect_that!(refusals(&refused)[0].reason, eq(RefusalReason::Draining));
    expect_true!(refusals(&refused)[0].not_run);
}
