//! Tests of the reader of a backend server's feed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;
use azureway_entry::feed::{FeedBatch, FeedReader, FeedSource, ReaderControl};
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
    let reader = FeedReader::new(source, server, Arc::clone(&control), decide, 1);
    thread::spawn(move || reader.run());
    let first = polls.recv_timeout(TEST_TIMEOUT).expect("a poll");
    let second = polls.recv_timeout(TEST_TIMEOUT).expect("a second poll");
    control.stop();
    // A poll occupies its place for up to a second; the delay has a jitter of a half.
    expect_that!(second - first, ge(Duration::from_millis(500)));
}
