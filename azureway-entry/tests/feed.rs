//! Tests of the reader of a backend server's feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::feed::{FeedBatch, FeedBudget, FeedReader, FeedSource, ReaderControl};
use flume::Sender;
use googletest::prelude::*;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A feed of a server whose places for polls are all occupied.
#[derive(Clone)]
struct FullFeed(Sender<Instant>);

impl FeedSource for FullFeed {
    const INTERVAL: Duration = Duration::ZERO;

    fn poll(
        &mut self,
        server: &ServerId,
        _: SocketAddr,
        _: u64,
        _: bool,
    ) -> std::result::Result<FeedBatch, Error> {
        // The test has ended if nobody receives.
        let _ = self.0.send(Instant::now());
        Err(Error::new(ErrorKind::Limited, Step::new("poll"), 429).with_peer(server))
    }
}

// Guards against instances that poll a full server many times a second, all of them right after a
// start, until little processor time is left for their callers.
#[gtest]
fn a_reader_that_is_refused_a_place_waits_for_a_place_to_become_free() {
    let (polled, polls) = flume::bounded(8);
    let (decide, _updates) = flume::bounded(1);
    let address = "127.0.0.1:9".parse().expect("an address");
    let control = Arc::new(ReaderControl::new(address));
    let (source, server) = (FullFeed(polled), ServerId::new("s"));
    let budget = Arc::new(FeedBudget::new(1_000.0, Clock::new()));
    let reader = FeedReader::new(source, server, Arc::clone(&control), decide, budget, 1);
    thread::spawn(move || reader.run());
    let first = polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    let second = polls.recv_timeout(TEST_TIMEOUT).expect("a second poll");
    control.stop();
    // A poll occupies its place for up to a second; the delay has a jitter of a half.
    expect_that!(second - first, ge(Duration::from_millis(500)));
}

/// A feed whose answers all have five million bytes.
#[derive(Clone)]
struct LargeFeed(Sender<Instant>);

impl FeedSource for LargeFeed {
    const INTERVAL: Duration = Duration::ZERO;

    fn poll(
        &mut self,
        _: &ServerId,
        _: SocketAddr,
        _: u64,
        _: bool,
    ) -> std::result::Result<FeedBatch, Error> {
        // The test has ended if nobody receives.
        let _ = self.0.send(Instant::now());
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
}

// Guards against feeds that fill an instance's link, so that changes of the configuration come late
// and callers wait.
#[gtest]
fn feeds_leave_most_of_the_link_to_others() {
    let (polled, polls) = flume::bounded(8);
    let (decide, updates) = flume::bounded(8);
    thread::spawn(move || updates.iter().for_each(drop));
    let address = "127.0.0.1:9".parse().expect("an address");
    let control = Arc::new(ReaderControl::new(address));
    // A fifth of the link is 2,000,000 bytes a second, and two seconds of it may be used at once.
    let budget = Arc::new(FeedBudget::new(80.0, Clock::new()));
    let (source, server) = (LargeFeed(polled), ServerId::new("s"));
    let reader = FeedReader::new(source, server, Arc::clone(&control), decide, budget, 1);
    thread::spawn(move || reader.run());
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
