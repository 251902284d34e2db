//! Placement around backend servers that announce with their answers that they leave.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure, fleet, refusals};

const ENGINE: &str = "engine-1";

fn update(server: &str, incarnation: u64) -> ServerUpdate {
    ServerUpdate {
        server: ServerId::new(server),
        incarnation: Incarnation::new(incarnation),
        status: ServerStatus::Leaving,
    }
}

fn report(incarnation: u64, leaving: bool) -> LoadReport {
    LoadReport {
        pace: None,
        server: ServerId::new(ENGINE),
        incarnation: Incarnation::new(incarnation),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving,
    }
}

/// Returns a fleet in which the first server is listed with an incarnation.
fn listed(version: u64, incarnation: u64, leaving: bool) -> Fleet {
    let mut fleet = fleet(1, 4).with_version(ConfigVersion::new(version));
    for server in fleet.servers.values_mut() {
        server.leaving = leaving;
        server.listed = Some(ListedState {
            incarnation: Incarnation::new(incarnation),
            weights: None,
        });
    }
    fleet
}

/// Applies an event of the table. `version` is that of the fleet that it brings, if any.
fn apply(fixture: &mut RouterFixture, event: &str, version: u64) {
    let (name, number) = event.split_once(' ').unwrap_or((event, "0"));
    let number: u64 = number.parse().expect("a number");
    let actions = match name {
        "list" => fixture.handle(Event::Configured(&listed(version, number, false))),
        "drains" => fixture.handle(Event::Configured(&listed(version, number, true))),
        "unlist" => {
            let mut empty = listed(version, 0, false);
            empty.servers.clear();
            fixture.handle(Event::Configured(&empty))
        }
        "answer" => fixture.handle(Event::Announced(&update(ENGINE, number))),
        "peer" => fixture.handle(Event::Server(&update(ENGINE, number))),
        "ready" => fixture.handle(Event::Load(&report(number, false))),
        "leaving" => fixture.handle(Event::Load(&report(number, true))),
        "wait" => fixture.advance(Duration::from_secs(number)),
        _ => panic!("no such event: {event}"),
    };
    drop(actions);
}

/// Sends a request and returns its outcome in the words of the table.
fn outcome(fixture: &mut RouterFixture) -> &'static str {
    let request = fixture.request("small", &["house"]);
    let actions = fixture.handle(Event::Arrived(&request));
    match (&dispatches(&actions)[..], &refusals(&actions)[..]) {
        ([_], []) => "served",
        ([], [refusal]) if refusal.not_run && refusal.reason == RefusalReason::NoServer => {
            "refused"
        }
        ([], []) => "queued",
        _ => "something else",
    }
}

// Guards against requests to a server that has said with an answer that it leaves.
#[gtest]
fn announcements_match_the_table() {
    let table = include_str!("../testdata/announced.txt");
    for row in table.lines().filter(|l| !l.starts_with('#')) {
        let columns: Vec<_> = row.split('|').map(str::trim).collect();
        let mut fixture = RouterFixture::new(1, 4);
        for (number, event) in columns[1].split(", ").enumerate() {
            apply(&mut fixture, event, number as u64 + 2);
        }
        expect_that!(outcome(&mut fixture), eq(columns[2]), "{}", columns[0]);
    }
}

/// Returns the servers of the dispatches among `actions`.
fn servers(actions: &[Action]) -> Vec<&str> {
    let sent = dispatches(actions).into_iter();
    sent.map(|d| d.server.as_str()).collect()
}

/// Sends requests until one runs at the first server, and returns its dispatch.
fn run_at_first(fixture: &mut RouterFixture) -> Dispatch {
    for number in 0..16 {
        let request = fixture.request("small", &[&format!("house {number}")]);
        let actions = fixture.handle(Event::Arrived(&request));
        let sent = dispatches(&actions);
        let sent = sent.first().expect("a dispatch");
        if sent.server.as_str() == ENGINE {
            return (*sent).clone();
        }
    }
    panic!("no request was sent to the first server");
}

// Guards against retries and resumed streams that go back to the server that said it leaves, after
// another one has failed them too.
#[gtest]
fn what_is_sent_again_goes_to_another_server() {
    let cases = [
        (FailureKind::Busy, SendState::Rejected, 0),
        (FailureKind::Declined, SendState::MaybeRun, 0),
        (FailureKind::Silent, SendState::MaybeRun, 3),
    ];
    for (kind, sent, position) in cases {
        let mut fixture = RouterFixture::new(2, 32);
        let dispatch = run_at_first(&mut fixture);
        fixture.handle(Event::Announced(&update(ENGINE, 0)));
        let first = failure(&dispatch, kind, sent, position);
        let actions = fixture.handle(Event::Failed(&first));
        expect_that!(servers(&actions), eq(&vec!["engine-2"]), "{kind:?}");
        let again = dispatches(&actions)[0].clone();
        let second = failure(&again, kind, sent, position);
        let mut actions = fixture.handle(Event::Failed(&second));
        actions.extend(fixture.advance(Duration::from_secs(3)));
        expect_that!(servers(&actions), eq(&vec!["engine-2"]), "{kind:?} again");
    }
}

// Guards against a probe of a suspect request at a server that said it leaves, when the other one has
// just failed.
#[gtest]
fn a_suspect_request_is_not_tried_at_a_leaving_server() {
    let mut fixture = RouterFixture::new(2, 4);
    fixture.handle(Event::Announced(&update(ENGINE, 0)));
    let request = fixture.request("small", &["house"]);
    let actions = fixture.handle(Event::Arrived(&request));
    let first = dispatches(&actions)[0].clone();
    let crash = failure(&first, FailureKind::Broken, SendState::MaybeRun, 0);
    let mut sent = fixture.handle(Event::Failed(&crash));
    for _ in 0..50 {
        sent.extend(fixture.advance(Duration::from_millis(100)));
    }
    expect_that!(servers(&sent), eq(&vec!["engine-2"]));
}

// Guards against queued requests that are sent to a server that said it leaves, or that wait for
// nothing until their deadline.
#[gtest]
fn queued_requests_are_refused_once_all_servers_leave() {
    let mut fixture = RouterFixture::new(2, 1);
    let mut dispatched = Vec::new();
    for _ in 0..6 {
        let request = fixture.request("small", &["house"]);
        let actions = fixture.handle(Event::Arrived(&request));
        dispatched.extend(dispatches(&actions).into_iter().cloned());
    }
    let queued = 6 - dispatched.len();
    expect_that!(queued, ge(1));
    let first = fixture.handle(Event::Announced(&update(ENGINE, 0)));
    expect_that!(refusals(&first), is_empty());
    let actions = fixture.handle(Event::Announced(&update("engine-2", 0)));
    let refused = refusals(&actions);
    expect_that!(refused.len(), eq(queued));
    let honest = |r: &&Refusal| r.not_run && r.retry_after.is_some();
    expect_that!(refused.iter().all(honest), eq(true));
    // What runs there ends there.
    let cancelled = actions.iter().any(|a| matches!(a, Action::Cancel(_)));
    expect_that!(cancelled, eq(false));
    expect_that!(fixture.router.active(), eq(dispatched.len()));
}

// Guards against a stream that is given up, or resumed at the server that leaves, while a new server
// may still come.
#[gtest]
fn a_stream_that_has_begun_waits_for_a_new_server() {
    let mut fixture = RouterFixture::new(1, 4);
    let dispatch = run_at_first(&mut fixture);
    fixture.handle(Event::Announced(&update(ENGINE, 0)));
    let broken = failure(&dispatch, FailureKind::Broken, SendState::MaybeRun, 3);
    let mut actions = fixture.handle(Event::Failed(&broken));
    actions.extend(fixture.advance(Duration::from_secs(5)));
    expect_that!(servers(&actions), is_empty());
    expect_that!(refusals(&actions), is_empty());
    let larger = fleet(2, 4).with_version(ConfigVersion::new(2));
    let actions = fixture.handle(Event::Configured(&larger));
    expect_that!(servers(&actions), eq(&vec!["engine-2"]));
}

// Guards against entries that do not hear of an announcement, and against one that is told twice.
#[gtest]
fn an_announcement_is_told_to_the_other_entries_once() {
    let mut fixture = RouterFixture::new(1, 4);
    let news = update(ENGINE, 7);
    let first = fixture.handle(Event::Announced(&news));
    expect_that!(first, eq(&vec![Action::BroadcastServer(news.clone())]));
    expect_that!(fixture.handle(Event::Announced(&news)), is_empty());
    let heard = fixture.handle(Event::Server(&news));
    expect_that!(heard, is_empty());
    expect_that!(fixture.router.overview().announced, eq(1));
}

// Guards against beliefs that change without a line in the log.
#[gtest]
fn each_change_of_belief_is_reported_with_its_cause() {
    let mut fixture = RouterFixture::new(1, 4);
    let events = [
        ("list 5", None),
        ("peer 5", Some((5, LeavingCause::Peer, true))),
        ("answer 5", None),
        ("list 6", Some((5, LeavingCause::Restart, false))),
        ("answer 6", Some((6, LeavingCause::Answer, true))),
        ("wait 600", Some((6, LeavingCause::Timeout, false))),
    ];
    for (number, (event, expected)) in events.into_iter().enumerate() {
        apply(&mut fixture, event, number as u64 + 2);
        let changes = fixture.router.take_leaving_changes();
        let seen = changes
            .first()
            .map(|c| (c.incarnation.get(), c.cause, c.began));
        expect_that!(seen, eq(expected), "{event}");
        expect_that!(changes.len(), le(1), "{event}");
    }
}

// Guards against an entry that forgets announcements without bound, or keeps all of them.
#[gtest]
fn the_remembered_announcements_are_bounded() {
    let mut fixture = RouterFixture::new(1, 4);
    for number in 0..3_000 {
        fixture.handle(Event::Server(&update(&format!("other-{number}"), 1)));
        fixture.advance(Duration::from_millis(1));
    }
    fixture.handle(Event::Announced(&update(ENGINE, 1)));
    expect_that!(outcome(&mut fixture), eq("refused"));
    let changes = fixture.router.take_leaving_changes();
    expect_that!(changes.len(), le(1_024));
}
