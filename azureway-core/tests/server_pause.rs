//! Tests of backend servers that ask an entry for a pause.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure, refusals};

const STEP: Duration = Duration::from_millis(20);
const SERVER: &str = "engine-1";

/// Returns the notice of a server that wants nothing for some seconds.
fn notice(server: &str, incarnation: Option<u64>, seconds: f64) -> PauseNotice {
    PauseNotice {
        server: ServerId::new(server),
        incarnation: incarnation.map(Incarnation::new),
        pause: Pause::from_seconds(seconds).expect("a pause"),
    }
}

fn pause(fixture: &mut RouterFixture, server: &str, seconds: f64) -> Vec<Action> {
    let notice = notice(server, None, seconds);
    fixture.handle(Event::Paused(&notice))
}

fn report(server: &str, incarnation: u64) -> LoadReport {
    LoadReport {
        pace: None,
        server: ServerId::new(server),
        incarnation: Incarnation::new(incarnation),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    }
}

/// Lets a request arrive and returns the actions.
fn arrive(fixture: &mut RouterFixture) -> Vec<Action> {
    let request = fixture.request("small", &["house", "shop", "body"]);
    fixture.handle(Event::Arrived(&request))
}

fn finish(fixture: &mut RouterFixture, attempt: Attempt) -> Vec<Action> {
    let finish = Finish {
        attempt,
        cached: TokenCount::ZERO,
        output: TokenCount::new(1),
    };
    fixture.handle(Event::Finished(&finish))
}

/// Lets requests come for `time` and answers each at once. Returns the servers that got them, with
/// the times.
fn run(fixture: &mut RouterFixture, time: Duration) -> Vec<(Timestamp, ServerId)> {
    let end = fixture.now + time;
    let mut sent = Vec::new();
    while fixture.now + STEP <= end {
        let mut actions = fixture.advance(STEP);
        actions.extend(arrive(fixture));
        while let Some(dispatch) = dispatches(&actions).first().copied().cloned() {
            sent.push((fixture.now, dispatch.server.clone()));
            actions.retain(|a| *a != Action::Dispatch(dispatch.clone()));
            actions.extend(finish(fixture, dispatch.attempt));
        }
    }
    sent
}

fn count(sent: &[(Timestamp, ServerId)], server: &str) -> usize {
    sent.iter().filter(|(_, s)| s.as_str() == server).count()
}

/// Returns the milliseconds for which a server gets nothing after it named `seconds`.
fn held_time(seconds: &str) -> u128 {
    let mut fixture = RouterFixture::new(1, 4);
    let seconds: f64 = seconds.parse().expect("a number");
    if let Some(pause) = Pause::from_seconds(seconds) {
        let notice = PauseNotice {
            pause,
            ..notice(SERVER, None, 1.0)
        };
        fixture.handle(Event::Paused(&notice));
    }
    let state = fixture.router.servers().get(&ServerId::new(SERVER));
    state
        .expect("a server")
        .pause
        .until()
        .since(fixture.now)
        .as_millis()
}

/// Guards against numbers that take a server out of service for longer than the bound, or that are no
/// pause at all.
#[gtest]
fn the_time_of_a_hold_matches_the_table() {
    for line in include_str!("../testdata/pauses.txt").lines() {
        if let Some((seconds, held)) = line.split_once('|').filter(|_| !line.starts_with('#')) {
            let held: u128 = held.trim().parse().expect("milliseconds");
            expect_that!(held_time(seconds.trim()), eq(held), "{line}");
        }
    }
}

/// Guards against requests to a server during the pause that it asked for: at most two may reach it,
/// and what was on the way counts.
#[gtest]
fn a_server_gets_nothing_during_its_pause() {
    for seconds in [0.7, 2.0, 5.0] {
        let time = Duration::from_secs_f64(seconds);
        let mut fixture = RouterFixture::new(2, 32);
        run(&mut fixture, Duration::from_secs(1));
        pause(&mut fixture, SERVER, seconds);
        let during = run(&mut fixture, time - STEP);
        expect_that!(count(&during, SERVER), eq(0), "{seconds}");
        expect_that!(during.len(), ge(30), "the other server takes the rest");
        let after = run(&mut fixture, Duration::from_secs(3));
        expect_that!(after.len(), ge(145), "nothing waits");
    }
}

/// Guards against a shorter pause, named in a later answer to a request that was on the way, that
/// ends a longer one, and against an answer without a pause that does.
#[gtest]
fn the_longest_pause_counts() {
    let mut fixture = RouterFixture::new(1, 4);
    pause(&mut fixture, SERVER, 3.0);
    fixture.advance(Duration::from_millis(100));
    pause(&mut fixture, SERVER, 1.0);
    let sample = LoadSample {
        pace: None,
        server: ServerId::new(SERVER),
        load: Some((0, 0)),
        weights: Some(WeightsVersion::new(1)),
        rate_limit: None,
    };
    fixture.handle(Event::LoadSample(&sample));
    expect_that!(dispatches(&arrive(&mut fixture)), is_empty());
    expect_that!(
        dispatches(&fixture.advance(Duration::from_millis(2_800))),
        is_empty()
    );
    let actions = fixture.advance(Duration::from_millis(600));
    expect_that!(dispatches(&actions).len(), eq(1));
}

/// Guards against ways around the hold: a retry, a request that goes back to the queue, and a stream
/// that is resumed.
#[gtest]
fn retries_and_resumed_streams_wait_for_the_end_of_the_pause() {
    let rows = [
        (FailureKind::Busy, SendState::Rejected, 0),
        (FailureKind::Declined, SendState::MaybeRun, 0),
        (FailureKind::Silent, SendState::MaybeRun, 3),
    ];
    for (kind, sent, position) in rows {
        let mut fixture = RouterFixture::new(1, 4);
        let actions = arrive(&mut fixture);
        let dispatch = dispatches(&actions)[0].clone();
        pause(&mut fixture, SERVER, 2.0);
        let failure = failure(&dispatch, kind, sent, position);
        let mut actions = fixture.handle(Event::Failed(&failure));
        for _ in 0..99 {
            actions.extend(fixture.advance(STEP));
        }
        expect_that!(dispatches(&actions), is_empty(), "{kind:?}");
        expect_that!(refusals(&actions), is_empty(), "{kind:?}");
        let actions = fixture.advance(Duration::from_millis(600));
        expect_that!(dispatches(&actions).len(), eq(1), "{kind:?}");
    }
}

/// Guards against runs of requests that are suspected of crashing servers, each of which gets a server
/// of its own: not one that wants nothing.
#[gtest]
fn a_suspect_is_not_sent_to_a_held_server() {
    let mut fixture = RouterFixture::new(2, 4);
    fixture.handle(Event::Load(&report(SERVER, 1)));
    fixture.handle(Event::Load(&report("engine-2", 1)));
    let actions = arrive(&mut fixture);
    let dispatch = dispatches(&actions)[0].clone();
    let other = ["engine-1", "engine-2"]
        .into_iter()
        .find(|s| *s != dispatch.server.as_str())
        .expect("another server");
    pause(&mut fixture, other, 5.0);
    let failure = failure(&dispatch, FailureKind::Broken, SendState::MaybeRun, 0);
    let mut actions = fixture.handle(Event::Failed(&failure));
    for _ in 0..150 {
        actions.extend(fixture.advance(STEP));
    }
    let sent = dispatches(&actions);
    expect_that!(sent.iter().all(|d| d.server == dispatch.server), eq(true));
    expect_that!(sent.len(), eq(1));
}

/// Guards against a hold that is passed on: a pause that a server asks one entry for is no other
/// entry's.
#[gtest]
fn a_hold_is_this_entry_s_own() {
    let mut fixture = RouterFixture::new(1, 4);
    expect_that!(pause(&mut fixture, SERVER, 5.0), is_empty());
    expect_that!(dispatches(&arrive(&mut fixture)), is_empty());
    let mut other = RouterFixture::with_seed(1, 4, 1);
    expect_that!(dispatches(&arrive(&mut other)).len(), eq(1));
}

/// Guards against holds that outlive the process that asked for them, and against notices that are
/// applied to a later one. Each row holds the incarnation that the router knows, the one that the
/// answer is from, the one that the server reports afterwards, and whether the server is held.
#[gtest]
fn a_hold_ends_with_a_new_incarnation() {
    let rows = [
        (2, Some(2), 2, true),
        (2, Some(2), 3, false),
        (2, Some(1), 2, false),
        (2, None, 2, true),
        (2, None, 3, false),
        (2, Some(2), 1, true),
    ];
    for (known, answered, later, held) in rows {
        let mut fixture = RouterFixture::new(1, 4);
        fixture.handle(Event::Load(&report(SERVER, known)));
        fixture.handle(Event::Paused(&notice(SERVER, answered, 5.0)));
        fixture.handle(Event::Load(&report(SERVER, later)));
        let sent = dispatches(&arrive(&mut fixture)).len();
        expect_that!(sent, eq(usize::from(!held)), "{known} {answered:?} {later}");
    }
    // A server that answers before its incarnation is known stays held when it becomes known.
    let mut fixture = RouterFixture::new(1, 4);
    pause(&mut fixture, SERVER, 5.0);
    fixture.handle(Event::Load(&report(SERVER, 4)));
    expect_that!(dispatches(&arrive(&mut fixture)), is_empty());
}

/// Guards against a hold that ends with a list: one that lags, or that names newer weights.
#[gtest]
fn a_hold_ends_with_a_listed_incarnation_only() {
    for (incarnation, weights, held) in [(1, 1, true), (1, 2, true), (2, 1, false)] {
        let listed = |incarnation, weights| ListedState {
            incarnation: Incarnation::new(incarnation),
            weights: Some(WeightsVersion::new(weights)),
        };
        let fleet_with = |version, state| {
            let mut fleet = support::fleet(1, 4).with_version(ConfigVersion::new(version));
            let server = fleet.servers.get_mut(&ServerId::new(SERVER));
            server.expect("a server").listed = Some(state);
            fleet
        };
        let mut fixture = RouterFixture::new(1, 4);
        fixture.handle(Event::Configured(&fleet_with(2, listed(1, 1))));
        pause(&mut fixture, SERVER, 5.0);
        fixture.handle(Event::Configured(&fleet_with(
            3,
            listed(incarnation, weights),
        )));
        let state = fixture.router.servers().get(&ServerId::new(SERVER));
        let holds = state.expect("a server").pause.holds(fixture.now);
        expect_that!(holds, eq(held), "{incarnation} {weights}");
    }
}

/// Guards against a hold that ends because a list that lags leaves a server out for a while, and
/// against one that is lost because the server asks for it meanwhile. Each row holds whether the server
/// asks in the gap, the incarnation that asks, the one with which the server is back, and whether it is
/// held.
#[gtest]
fn a_hold_outlasts_a_gap_in_the_list() {
    let rows = [
        (false, None, 1, true),
        (false, None, 2, false),
        (true, None, 1, true),
        (true, None, 2, false),
        (true, Some(1), 1, true),
        (true, Some(1), 2, false),
        (true, Some(2), 2, true),
        (true, Some(0), 1, false),
    ];
    for (in_gap, answered, incarnation, held) in rows {
        let fleet_with = |version, incarnation| {
            let mut fleet = support::fleet(1, 4).with_version(ConfigVersion::new(version));
            let server = fleet.servers.get_mut(&ServerId::new(SERVER));
            server.expect("a server").listed = Some(ListedState {
                incarnation: Incarnation::new(incarnation),
                weights: None,
            });
            fleet
        };
        let mut fixture = RouterFixture::new(1, 4);
        fixture.handle(Event::Configured(&fleet_with(2, 1)));
        let notice = notice(SERVER, answered, 5.0);
        if !in_gap {
            fixture.handle(Event::Paused(&notice));
        }
        let empty = support::fleet(0, 4).with_version(ConfigVersion::new(3));
        fixture.handle(Event::Configured(&empty));
        if in_gap {
            fixture.handle(Event::Paused(&notice));
        }
        fixture.handle(Event::Configured(&fleet_with(4, incarnation)));
        let sent = dispatches(&arrive(&mut fixture)).len();
        let row = (in_gap, answered, incarnation);
        expect_that!(sent, eq(usize::from(!held)), "{row:?}");
    }
}

/// Guards against a hold on another process that has the name of one that asked for a pause. Each row
/// holds whether the server asks after it has left the list.
#[gtest]
fn a_hold_is_not_kept_for_a_server_at_another_address() {
    for in_gap in [false, true] {
        let mut fixture = RouterFixture::new(1, 4);
        if !in_gap {
            pause(&mut fixture, SERVER, 5.0);
        }
        let empty = support::fleet(0, 4).with_version(ConfigVersion::new(2));
        fixture.handle(Event::Configured(&empty));
        if in_gap {
            pause(&mut fixture, SERVER, 5.0);
        }
        let mut moved = support::fleet(1, 4).with_version(ConfigVersion::new(3));
        let server = moved.servers.get_mut(&ServerId::new(SERVER));
        server.expect("a server").address = ([127, 0, 0, 1], 8_000).into();
        fixture.handle(Event::Configured(&moved));
        let sent = dispatches(&arrive(&mut fixture)).len();
        expect_that!(sent, eq(1), "in the gap: {in_gap}");
    }
}

/// Guards against requests that wait in vain for a pool whose servers all want nothing until after
/// the deadline, which the callers could use to ask elsewhere; and against refusals of requests that
/// can wait.
#[gtest]
fn where_all_servers_are_held_a_request_waits_only_if_it_can_be_served_in_time() {
    // The fixture's requests wait for ten seconds.
    let mut fixture = RouterFixture::new(2, 4);
    pause(&mut fixture, "engine-1", 3.0);
    pause(&mut fixture, "engine-2", 20.0);
    let actions = arrive(&mut fixture);
    expect_that!(actions, is_empty());
    pause(&mut fixture, "engine-1", 15.0);
    let actions = arrive(&mut fixture);
    let refused = refusals(&actions);
    expect_that!(refused.len(), eq(1));
    expect_that!(refused[0].reason, eq(RefusalReason::NoServer));
    expect_that!(refused[0].not_run, eq(true));
    let after = refused[0].retry_after.expect("a time");
    expect_that!(after, ge(Duration::from_secs(15)));
    expect_that!(after, le(Duration::from_millis(15_500)));
}

/// Guards against requests that wait for the end of their deadline though it is known that they
/// cannot be served: those in the queue, and those that come back to it.
#[gtest]
fn waiting_requests_are_refused_when_the_last_server_is_held_for_too_long() {
    let mut fixture = RouterFixture::new(1, 1);
    let actions = arrive(&mut fixture);
    let dispatch = dispatches(&actions)[0].clone();
    expect_that!(arrive(&mut fixture), is_empty());
    let actions = pause(&mut fixture, SERVER, 30.0);
    expect_that!(refusals(&actions).len(), eq(1), "the one in the queue");
    let failure = failure(&dispatch, FailureKind::Busy, SendState::Rejected, 0);
    let actions = fixture.handle(Event::Failed(&failure));
    let refused = refusals(&actions);
    expect_that!(refused.len(), eq(1), "the one that was rejected");
    let good = |r: &&Refusal| r.not_run && r.retry_after >= Some(Duration::from_secs(30));
    expect_that!(refused.iter().all(good), eq(true));
    expect_that!(fixture.router.active(), eq(0));
}

/// Guards against a stream that is broken off though a server may still come to resume it, and against
/// a request that may have run and is said not to have.
#[gtest]
fn what_has_begun_is_not_refused_as_not_run() {
    for (position, refused) in [(0, 1), (5, 0)] {
        let mut fixture = RouterFixture::new(1, 1);
        let actions = arrive(&mut fixture);
        let dispatch = dispatches(&actions)[0].clone();
        pause(&mut fixture, SERVER, 30.0);
        let failure = failure(
            &dispatch,
            FailureKind::Silent,
            SendState::MaybeRun,
            position,
        );
        let actions = fixture.handle(Event::Failed(&failure));
        let list = refusals(&actions);
        expect_that!(list.len(), eq(refused), "{position}");
        expect_that!(list.iter().any(|r| r.not_run), eq(false), "{position}");
    }
}

/// Guards against a waiting request that nothing wakes at the end of a pause.
#[gtest]
fn the_router_wakes_up_at_the_end_of_a_pause() {
    let mut fixture = RouterFixture::new(1, 4);
    pause(&mut fixture, SERVER, 2.0);
    arrive(&mut fixture);
    let mut sent = 0;
    for _ in 0..8 {
        let wakeup = fixture.router.next_wakeup().expect("a wake-up");
        let wait = wakeup.since(fixture.now);
        sent += dispatches(&fixture.advance(wait)).len();
        if sent > 0 {
            break;
        }
    }
    expect_that!(sent, eq(1));
    expect_that!(fixture.now, ge(Timestamp::from_millis(2_001)));
    expect_that!(fixture.now, le(Timestamp::from_millis(2_501)));
}

/// Guards against a queue that goes to a server in one moment when its pause ends, as other entries'
/// queues do then.
#[gtest]
fn a_server_is_taken_up_gently_after_its_pause() {
    const ENTRIES: u32 = 8;
    let mut first = Vec::new();
    for entry in 0..ENTRIES {
        let mut fixture = RouterFixture::with_seed(1, 64, u64::from(entry));
        fixture.handle(Event::ZoneEntries(ENTRIES));
        pause(&mut fixture, SERVER, 4.0);
        for _ in 0..40 {
            arrive(&mut fixture);
        }
        fixture.advance(Duration::from_millis(3_999));
        let start = fixture.now;
        let mut running = 0;
        let mut times = Vec::new();
        for _ in 0..150 {
            running += dispatches(&fixture.advance(STEP)).len();
            times.push(running);
        }
        let begin = times.iter().position(|n| *n > 0).expect("a request");
        first.push(begin);
        expect_that!(times[begin], eq(1), "one request first");
        expect_that!(times[begin + 40], le(4), "the share grows");
        expect_that!(running, ge(8), "the equal share, {:?}", start);
    }
    // The first requests come at different times.
    first.sort_unstable();
    first.dedup();
    expect_that!(first.len(), ge(4), "{first:?}");
}

/// Guards against counts that operators cannot rely on.
#[gtest]
fn the_overview_counts_holds() {
    let mut fixture = RouterFixture::new(2, 4);
    pause(&mut fixture, "engine-1", 2.0);
    pause(&mut fixture, "engine-1", 3.0);
    pause(&mut fixture, "engine-2", 1.0);
    fixture.handle(Event::Tick);
    let overview = fixture.router.overview();
    expect_that!((overview.pauses, overview.paused), eq((2, 2)));
    fixture.advance(Duration::from_secs(2));
    let overview = fixture.router.overview();
    expect_that!((overview.pauses, overview.paused), eq((2, 1)));
    let request = fixture.request("small", &["house"]);
    let options = fixture.router.explain(&request, fixture.now);
    let reasons: Vec<_> = options
        .expect("a service")
        .iter()
        .map(|o| o.exclusion)
        .collect();
    expect_that!(reasons[0], some(eq(ExclusionReason::Paused)));
}
