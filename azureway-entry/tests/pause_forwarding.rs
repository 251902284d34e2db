//! Tests of the pauses that the deciding duty passes on to the ordering duty.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;
use azureway_entry::admit::UpstreamRequest;
use azureway_entry::caller::AnswerChunk;
use azureway_entry::daemon::Rings;
use azureway_entry::decide::{DecideMessage, Decider};
use azureway_entry::feed::Subscribe;
use azureway_entry::order::OrderMessage;
use azureway_entry::relay::Launch;
use flume::Receiver;
use googletest::prelude::*;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A relay and feeds that are not used.
struct Unused;

impl Launch for Unused {
    fn launch(&mut self, _: Dispatch, _: Arc<UpstreamRequest>) -> Receiver<AnswerChunk> {
        unreachable!("no request arrives")
    }

    fn cancel(&mut self, _: Attempt) {}

    fn recall(&mut self, _: &Recall) {}
}

impl Subscribe for Unused {
    fn reconfigure(&mut self, _: &Fleet, _: &[(ServerId, Instant)]) {}

    fn set_audience(&mut self, _: FeedAudience, _: &Fleet, _: &[(ServerId, Instant)]) {}

    fn resync(&self, _: &ServerId) {}

    fn hold(&self, _: &ServerId, _: Instant) {}

    fn stop(&self) {}
}

fn fleet() -> Fleet {
    let pool = PoolId::new("engines");
    let (id, zone) = (ServerId::new("one"), ZoneId::new("a"));
    let server = BackendServer::new(id, pool.clone(), zone, ([127, 0, 0, 1], 9).into());
    Fleet::new()
        .with_version(ConfigVersion::new(1))
        .with_pool(BackendServerPool::new(pool))
        .with_server(server)
}

fn report(incarnation: u64) -> DecideMessage {
    DecideMessage::Load(LoadReport {
        pace: None,
        server: ServerId::new("one"),
        incarnation: Incarnation::new(incarnation),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    })
}

/// Returns the next pause that the ordering duty hears of.
fn next_hold(orders: &Receiver<OrderMessage>) -> Option<(ServerId, Timestamp)> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while let Ok(message) = orders.recv_deadline(deadline) {
        if let OrderMessage::Held(server, until) = message {
            return Some((server, until));
        }
    }
    None
}

/// Guards against polls and repeated orders of the lease holder during a pause that a caller's
/// request was answered with.
#[gtest]
fn the_ordering_duty_hears_of_a_pause_and_of_its_end_by_a_restart() {
    let rings = Rings::new(16);
    let router = Router::new(RouterConfig::new(ZoneId::new("a")), PrefixLoad::new());
    let decider = Decider::new(router, &rings, Unused, Unused, InstanceId::new("a-entry-1"));
    let duty = thread::spawn(move || decider.run());
    let notice = PauseNotice {
        server: ServerId::new("one"),
        incarnation: Some(Incarnation::new(1)),
        pause: Pause::from_seconds(60.0).expect("a pause"),
    };
    let earliest = rings.clock.now() + Duration::from_secs(60);
    let messages = [
        DecideMessage::Configured(Arc::new(fleet())),
        report(1),
        DecideMessage::Paused(notice),
        report(2),
    ];
    for message in messages {
        rings.decide.try_send(message).expect("room");
    }
    let (server, until) = next_hold(&rings.order_messages).expect("a pause");
    expect_that!(server, eq(&ServerId::new("one")));
    expect_that!(until, ge(earliest));
    let released = next_hold(&rings.order_messages);
    expect_that!(released, some(eq(&(server, Timestamp::ZERO))));
    let (drained, _signal) = flume::bounded(1);
    rings
        .decide
        .try_send(DecideMessage::Drain(drained))
        .expect("room");
    duty.join().expect("the duty ends");
}
