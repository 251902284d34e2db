//! Tests of the reader of a backend server's feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;
use azureway_entry::admit::UpstreamRequest;
use azureway_entry::caller::AnswerChunk;
use azureway_entry::clock::Clock;
use azureway_entry::daemon::Rings;
use azureway_entry::decide::{DecideMessage, Decider};
use azureway_entry::feed::{
    FeedBatch, FeedBudget, FeedReader, FeedReaders, FeedSource, ReaderControl,
};
use azureway_entry::memory::{CallMemory, MemoryHold};
use azureway_entry::relay::Launch;
use flume::{Receiver, Sender};
use googletest::prelude::*;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of a poll.
type PollResult = std::result::Result<FeedBatch, Error>;

/// A feed that reports the time of each poll and gives all of them the same answer.
#[derive(Clone)]
struct TestFeed {
    polled: Sender<Instant>,
    answer: fn() -> PollResult,
}

impl FeedSource for TestFeed {
    const INTERVAL: Duration = Duration::ZERO;
    const PAUSES: bool = true;

    fn poll(&mut self, _: &ServerId, _: SocketAddr, _: u64, _: bool, _: &MemoryHold) -> PollResult {
        // The test has ended if nobody receives.
        let _ = self.polled.send(Instant::now());
        (self.answer)()
    }
}

/// The answer of a server whose places for polls are all occupied.
fn refuse() -> PollResult {
    Err(Error::new(ErrorKind::Limited, Step::new("poll"), 429))
}

/// An answer of five million bytes.
fn answer_at_length() -> PollResult {
    Ok(FeedBatch {
        incarnation: None,
        epoch: 1,
        next: 0,
        first: None,
        lost: false,
        snapshot: false,
        ops: Vec::new(),
        bytes: 5_000_000,
        load: None,
    })
}

/// Starts the reader of a feed that gives `answer`, on a link of `link` megabits a second. Returns
/// the times of its polls and its control.
fn start_reader(answer: fn() -> PollResult, link: f64) -> (Receiver<Instant>, Arc<ReaderControl>) {
    let (polled, polls) = flume::bounded(8);
    let (decide, updates) = flume::bounded(8);
    thread::spawn(move || updates.iter().for_each(drop));
    let address = "127.0.0.1:9".parse().expect("an address");
    let control = Arc::new(ReaderControl::new(address));
    let (source, server) = (TestFeed { polled, answer }, ServerId::new("s"));
    let budget = Arc::new(FeedBudget::new(link, Clock::new()));
    let reader = FeedReader::new(source, server, Arc::clone(&control), decide, budget, 1);
    thread::spawn(move || reader.run());
    (polls, control)
}

// Guards against instances that poll a full server many times a second, all of them right after a
// start, until little processor time is left for their callers.
#[gtest]
fn a_reader_that_is_refused_a_place_waits_for_a_place_to_become_free() {
    let (polls, control) = start_reader(refuse, 1_000.0);
    let first = polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    let second = polls.recv_timeout(TEST_TIMEOUT).expect("a second poll");
    control.stop();
    // A poll occupies its place for up to a second; the delay has a jitter of a half.
    expect_that!(second - first, ge(Duration::from_millis(500)));
}

// Guards against feeds that fill an instance's link, so that changes of the configuration come late
// and callers wait.
#[gtest]
fn feeds_leave_most_of_the_link_to_others() {
    // A fifth of the link is 2,000,000 bytes a second, and two seconds of it may be used at once.
    let (polls, control) = start_reader(answer_at_length, 80.0);
    let first = polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    let third = polls.iter().nth(1).expect("a third poll");
    control.stop();
    // Two answers are 10,000,000 bytes, of which 4,000,000 may come at once.
    expect_that!(third - first, ge(Duration::from_millis(2_900)));
}

#[gtest]
fn a_reservation_that_was_too_large_is_refunded() {
    let budget = Arc::new(FeedBudget::new(1.0, Clock::new()));
    let size = 100_000_000;
    budget.reserve(size);
    let (done, next) = flume::bounded(1);
    let waiting = Arc::clone(&budget);
    thread::spawn(move || {
        waiting.reserve(1);
        let _ = done.send(());
    });
    budget.settle(size, 0);
    expect_that!(next.recv_timeout(TEST_TIMEOUT), ok(eq(())));
}

/// An answer without events.
fn answer_briefly() -> PollResult {
    answer_at_length().map(|batch| FeedBatch { bytes: 0, ..batch })
}

// Guards against polls that reach a server during the pause that it asked for. One may be on the way.
#[gtest]
fn a_held_reader_does_not_poll() {
    let (polls, control) = start_reader(answer_briefly, 1_000.0);
    polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    let end = Instant::now() + Duration::from_millis(700);
    control.hold(end);
    let held = Instant::now();
    let mut during = 0;
    loop {
        let poll = polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
        if poll >= end {
            break;
        }
        during += usize::from(poll > held);
    }
    control.stop();
    expect_that!(during, le(1));
}

// Guards against holds that outlive the process that asked for them.
#[gtest]
fn a_new_incarnation_releases_a_reader() {
    let (polls, control) = start_reader(answer_briefly, 1_000.0);
    polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    control.set_listed(Incarnation::new(1));
    control.hold(Instant::now() + 10 * TEST_TIMEOUT);
    let held = Instant::now();
    let quiet = Duration::from_millis(200);
    while polls.recv_timeout(quiet).is_ok() {
        assert!(held.elapsed() < TEST_TIMEOUT, "the reader goes on");
    }
    control.set_listed(Incarnation::new(2));
    let poll = polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    control.stop();
    expect_that!(poll, gt(held));
}

/// A feed each of whose answers takes a thousand bytes of memory.
#[derive(Clone)]
struct HeavyFeed;

impl FeedSource for HeavyFeed {
    const INTERVAL: Duration = Duration::ZERO;
    const PAUSES: bool = false;

    fn poll(
        &mut self,
        _: &ServerId,
        _: SocketAddr,
        _: u64,
        _: bool,
        hold: &MemoryHold,
    ) -> PollResult {
        match hold.try_grow(1_000) {
            true => answer_briefly(),
            false => refuse(),
        }
    }
}

// Guards against batches of events that fill the memory while the deciding duty is held up.
#[gtest]
fn batches_that_wait_to_be_applied_keep_their_memory() {
    let memory = CallMemory::new(3_500, Clock::new());
    let (decide, updates) = flume::bounded(8);
    let address = "127.0.0.1:9".parse().expect("an address");
    let control = Arc::new(ReaderControl::new(address));
    let budget = Arc::new(FeedBudget::new(1_000.0, Clock::new()));
    let (server, shared) = (ServerId::new("s"), Arc::clone(&control));
    let reader = FeedReader::new(HeavyFeed, server, shared, decide, budget, 1);
    let reader = reader.with_memory(memory.clone());
    thread::spawn(move || reader.run());
    let start = Instant::now();
    while memory.usage().2 == 0 {
        assert!(start.elapsed() < TEST_TIMEOUT, "the memory runs out");
        thread::yield_now();
    }
    expect_that!(memory.usage().1, eq(3_000));
    expect_that!(updates.len(), eq(3));
    control.stop();
    updates.drain().for_each(drop);
    let start = Instant::now();
    while memory.usage().1 > 0 {
        assert!(start.elapsed() < TEST_TIMEOUT, "the memory is released");
        updates.drain().for_each(drop);
        thread::yield_now();
    }
}

/// Starts no attempt.
struct NoLaunch;

impl Launch for NoLaunch {
    fn launch(&mut self, _: Dispatch, _: Arc<UpstreamRequest>) -> Receiver<AnswerChunk> {
        flume::bounded(1).1
    }

    fn cancel(&mut self, _: Attempt) {}

    fn recall(&mut self, _: &Recall) {}
}

/// Returns a configuration with the server `s` of the given incarnation, or without it.
fn list(version: u64, incarnation: Option<u64>) -> DecideMessage {
    let pool = PoolId::new("engines");
    let fleet = Fleet::new()
        .with_version(ConfigVersion::new(version))
        .with_pool(BackendServerPool::new(pool.clone()))
        .with_service(ModelService::new(ServiceId::new("advice"), pool.clone()));
    let address = "127.0.0.1:9".parse().expect("an address");
    let fleet = incarnation.into_iter().fold(fleet, |fleet, incarnation| {
        let (id, zone) = (ServerId::new("s"), ZoneId::new("a"));
        let mut server = BackendServer::new(id, pool.clone(), zone, address);
        server.listed = Some(ListedState {
            incarnation: Incarnation::new(incarnation),
            weights: None,
        });
        fleet.with_server(server)
    });
    DecideMessage::Configured(Arc::new(fleet))
}

/// Starts a deciding duty with the feeds of its servers. Returns its ring and the times of the polls.
fn start_decider() -> (Sender<DecideMessage>, Receiver<Instant>) {
    let (polled, polls) = flume::bounded(8);
    let rings = Rings::new(64);
    let source = TestFeed {
        polled,
        answer: answer_briefly,
    };
    let budget = FeedBudget::new(1_000.0, rings.clock);
    let readers = FeedReaders::new(source, rings.decide.clone(), budget, 1);
    let config = RouterConfig::new(ZoneId::new("a"));
    let router = Router::new(config, PrefixLoad::new());
    let messages = rings.decide.clone();
    thread::spawn(move || {
        let me = InstanceId::new("one");
        Decider::new(router, &rings, NoLaunch, readers, me).run();
    });
    (messages, polls)
}

/// Ends a deciding duty and the readers that it started.
fn stop(decide: &Sender<DecideMessage>) {
    let (drained, end) = flume::bounded(1);
    decide.send(DecideMessage::Drain(drained)).expect("sent");
    end.recv_timeout(TEST_TIMEOUT).expect("the end");
}

/// Waits until no reader polls.
fn await_quiet(polls: &Receiver<Instant>) {
    let start = Instant::now();
    while polls.recv_timeout(Duration::from_millis(200)).is_ok() {
        assert!(start.elapsed() < TEST_TIMEOUT, "a reader goes on");
    }
}

/// Lets the server `s` ask for a pause of some seconds, lapse from the list, before that or after it,
/// and come back with an incarnation. Returns the time of the return.
fn pause_around_gap(
    decide: &Sender<DecideMessage>,
    polls: &Receiver<Instant>,
    (in_gap, seconds, incarnation): (bool, f64, u64),
) -> Instant {
    decide.send(list(1, Some(1))).expect("sent");
    polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    let pause = DecideMessage::Paused(PauseNotice {
        server: ServerId::new("s"),
        incarnation: Some(Incarnation::new(1)),
        pause: Pause::from_seconds(seconds).expect("a pause"),
    });
    let gap = list(2, None);
    let (first, second) = if in_gap { (gap, pause) } else { (pause, gap) };
    decide.send(first).expect("sent");
    await_quiet(polls);
    decide.send(second).expect("sent");
    let back = Instant::now();
    decide.send(list(3, Some(incarnation))).expect("sent");
    back
}

// Guards against a reader that is started anew when a server is back on the list, and polls it though
// its pause holds.
#[gtest]
fn a_server_that_is_back_on_the_list_is_not_polled_during_its_pause() {
    for in_gap in [false, true] {
        let (decide, polls) = start_decider();
        let end = Instant::now() + Duration::from_secs(2);
        let back = pause_around_gap(&decide, &polls, (in_gap, 2.0, 1));
        let times = std::iter::from_fn(|| polls.recv_timeout(TEST_TIMEOUT).ok());
        let during = times.take_while(|t| *t < end).filter(|t| *t > back).count();
        stop(&decide);
        expect_that!(during, eq(0), "in the gap: {in_gap}");
    }
}

// Guards against a hold that outlives the process that asked for it, at a reader that is started anew.
#[gtest]
fn a_server_that_is_back_with_a_new_incarnation_is_polled() {
    for in_gap in [false, true] {
        let (decide, polls) = start_decider();
        let back = pause_around_gap(&decide, &polls, (in_gap, 60.0, 2));
        let mut times = std::iter::from_fn(|| polls.recv_timeout(TEST_TIMEOUT).ok());
        let polled = times.any(|t| t > back);
        stop(&decide);
        expect_that!(polled, eq(true), "in the gap: {in_gap}");
    }
}
