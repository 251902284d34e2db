//! Tests of the lease holder's calls to servers that asked it for a pause.

mod lease_platform;

use std::future::{self, Future};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::memory::MemoryHold;
use azureway_entry::order::{LoadChecks, OrderClient, OrderLink, OrderMessage, Orderer};
use azureway_entry::runtime;
use flume::Sender;
use googletest::prelude::*;
use lease_platform::LeasePlatform;

/// The time at which the load of a test of [`LoadChecks`] is ordered.
const START: Timestamp = Timestamp::from_millis(3_600_000);
/// The interval at which such a test looks for due checks.
const STEP: Duration = Duration::from_millis(50);
/// The time after the answer within which calls that are on their way may still arrive.
const GRACE: Duration = Duration::from_millis(500);

/// Servers that take every order and never complete it. The first one that is polled asks for a
/// pause at the same time. The duty's messages end once others were polled five times.
struct Servers {
    polls: Arc<Mutex<Vec<ServerId>>>,
    messages: Mutex<Option<Sender<OrderMessage>>>,
}

impl OrderLink for Servers {
    fn status(
        &self,
        order: &LoadOrder,
        _: MemoryHold,
    ) -> impl Future<Output = Option<OrderStatus>> + Send + 'static {
        let mut polls = self.polls.lock().expect("the lock");
        let mut messages = self.messages.lock().expect("the lock");
        if polls.is_empty()
            && let Some(messages) = messages.as_ref()
        {
            let held = OrderMessage::Held(order.server.clone(), Timestamp::MAX);
            messages.try_send(held).expect("room");
        }
        polls.push(order.server.clone());
        if polls.iter().filter(|id| **id != polls[0]).count() >= 5 {
            *messages = None;
        }
        future::ready(None)
    }

    fn send(
        &self,
        _: &LoadOrder,
        _: FencingNumber,
        _: MemoryHold,
    ) -> impl Future<Output = OrderAnswer> + Send + 'static {
        future::ready(OrderAnswer::Taken)
    }
}

/// Returns a fleet of three servers whose service requires weights version 2.
fn fleet() -> Fleet {
    let pool = PoolId::new("engines");
    let service = ModelService::new(ServiceId::new("advice"), pool.clone());
    let base = Fleet::new()
        .with_version(ConfigVersion::new(1))
        .with_pool(BackendServerPool::new(pool.clone()))
        .with_service(service.with_weights(WeightsVersion::new(2)));
    ["one", "two", "three"].iter().fold(base, |fleet, name| {
        let (id, zone) = (ServerId::new(name), ZoneId::new("a"));
        let address = ([127, 0, 0, 1], 9).into();
        fleet.with_server(BackendServer::new(id, pool.clone(), zone, address))
    })
}

/// Returns the report of a server that has loaded weights version 1.
fn report(name: &str, incarnation: u64) -> LoadReport {
    LoadReport {
        pace: None,
        server: ServerId::new(name),
        incarnation: Incarnation::new(incarnation),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    }
}

fn order(name: &str) -> LoadOrder {
    LoadOrder {
        server: ServerId::new(name),
        address: ([127, 0, 0, 1], 9).into(),
        fenced: false,
        model: None,
        weights: WeightsVersion::new(2),
        mode: LoadMode::Drain,
        config: ConfigVersion::new(1),
        incarnation: Incarnation::ZERO,
        accepted: 0,
        repeated: false,
    }
}

/// Returns how long after the start each check until `end` is due.
fn checks_until(checks: &mut LoadChecks, start: Timestamp, end: Timestamp) -> Vec<Duration> {
    let mut due = Vec::new();
    let mut now = start;
    while now < end {
        due.extend(checks.next_due(now).map(|_| now.since(START)));
        now = now + STEP;
    }
    due
}

/// Guards against more than ten calls for a server's weights during a pause of three seconds.
#[gtest]
fn a_held_server_is_polled_after_its_pause_and_then_for_the_whole_time() {
    let mut checks = LoadChecks::new();
    checks.push(order("one"), START);
    let answer = START + Duration::from_millis(700);
    let before = checks_until(&mut checks, START, answer);
    expect_that!(before, eq(&vec![Duration::from_millis(600)]));
    let end = answer + Duration::from_secs(3);
    checks.hold(&ServerId::new("one"), end);
    expect_that!(checks.next_wakeup(), some(eq(end)));
    expect_that!(checks_until(&mut checks, answer, end), is_empty());
    let after = checks_until(&mut checks, end, end + Duration::from_secs(60));
    expect_that!(after.first(), some(eq(&end.since(START))));
    let last = end.since(START) + Duration::from_secs(4);
    expect_that!(after.last(), some(lt(&last)));
    expect_that!(after.last(), some(gt(&(last - Duration::from_millis(200)))));
    expect_that!(checks.next_wakeup(), none());
}

/// Guards against a poll of a server that was already held when it got its order.
#[gtest]
fn a_load_that_is_ordered_during_a_pause_is_checked_after_it() {
    let mut checks = LoadChecks::new();
    let end = START + Duration::from_secs(60);
    checks.hold(&ServerId::new("one"), end);
    checks.push(order("one"), START);
    checks.push(order("two"), START);
    let held = checks_until(
        &mut checks,
        START + GRACE,
        START + Duration::from_millis(650),
    );
    // The one check is that of the other server.
    expect_that!(held.len(), eq(1));
    expect_that!(
        checks.complete(&ServerId::new("two"), WeightsVersion::new(2)),
        some(anything())
    );
    expect_that!(checks_until(&mut checks, START, end), is_empty());
    expect_that!(checks.next_due(end), some(eq(&order("one"))));
}

/// Guards against checks that wait for a pause that a new incarnation has ended, and against checks
/// after the server has told of its weights.
#[gtest]
fn checks_end_with_the_weights_and_resume_if_the_pause_ends_early() {
    let mut checks = LoadChecks::new();
    let server = ServerId::new("one");
    checks.push(order("one"), START);
    checks.hold(&server, START + Duration::from_secs(60));
    let now = START + Duration::from_secs(1);
    expect_that!(checks.next_due(now), none());
    checks.hold(&server, Timestamp::ZERO);
    expect_that!(checks.next_due(now), some(eq(&order("one"))));
    expect_that!(checks.complete(&server, WeightsVersion::new(1)), none());
    expect_that!(
        checks.complete(&server, WeightsVersion::new(2)),
        some(eq(&order("one")))
    );
    expect_that!(checks.next_wakeup(), none());
}

/// Guards against a duty that goes on polling a server that asked for a pause during a poll.
#[gtest]
fn the_duty_stops_polling_a_server_that_asks_for_a_pause() {
    let (sender, messages) = flume::bounded(16);
    let (peers, _notices) = flume::unbounded();
    let polls = Arc::new(Mutex::new(Vec::new()));
    sender
        .try_send(OrderMessage::Configured(Arc::new(fleet())))
        .expect("room");
    for name in ["one", "two", "three"] {
        sender
            .try_send(OrderMessage::Report(report(name, 1)))
            .expect("room");
    }
    let link = Servers {
        polls: Arc::clone(&polls),
        messages: Mutex::new(Some(sender)),
    };
    let lease = Lease::new(LeaseConfig::new(), InstanceId::new("a-entry-1"), 7);
    let config = OrderConfig::new();
    let orderer = Orderer::new(LeasePlatform, link, messages, Clock::new(), lease, config);
    let runtime = runtime::create().expect("a runtime");
    orderer.with_peers(peers).run(&runtime);
    let polls = polls.lock().expect("the lock");
    let first = polls.iter().filter(|id| **id == polls[0]).count();
    expect_that!(first, eq(1));
}

/// Guards against an ordering duty that learns nothing of pauses, of their early ends, or of those
/// that did not fit into its ring.
#[gtest]
fn pauses_and_their_ends_are_forwarded_once() {
    let (sender, messages) = flume::bounded(1);
    let mut client = OrderClient::new(sender);
    let mut servers = ServerTable::new();
    servers.reconfigure(&fleet());
    let server = ServerId::new("one");
    servers.apply_report(&report("one", 1), START);
    let notice = PauseNotice {
        server: server.clone(),
        incarnation: Some(Incarnation::new(1)),
        pause: Pause::from_seconds(3.0).expect("a pause"),
    };
    client.reconfigure(&Arc::new(fleet()));
    servers.apply_pause(&notice, START);
    client.hold(&server);
    client.update_holds(&servers, START);
    expect_that!(messages.drain().filter_map(held).count(), eq(0));
    for _ in 0..2 {
        client.update_holds(&servers, START);
    }
    let end = START + Duration::from_secs(3);
    let forwarded: Vec<_> = messages.drain().filter_map(held).collect();
    expect_that!(forwarded, eq(&vec![(server.clone(), end)]));
    servers.apply_report(&report("one", 2), START);
    client.update_holds(&servers, START);
    let forwarded: Vec<_> = messages.drain().filter_map(held).collect();
    expect_that!(forwarded, eq(&vec![(server, Timestamp::ZERO)]));
    client.update_holds(&servers, START);
    expect_that!(messages.is_empty(), eq(true));
}

fn held(message: OrderMessage) -> Option<(ServerId, Timestamp)> {
    match message {
        OrderMessage::Held(server, until) => Some((server, until)),
        _ => None,
    }
}
