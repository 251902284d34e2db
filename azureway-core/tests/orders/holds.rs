//! Orders to servers that asked the holder of the lease for a pause.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

use crate::support::fleet;

/// The time of the first order.
const START: Timestamp = Timestamp::from_millis(3_600_000);
/// A pause that is longer than the bound on new weights.
const PAUSE: Duration = Duration::from_secs(60);

/// Returns a planner of `count` servers that have weights 1 and are to load weights 2, and the ids
/// of the servers.
fn planner(count: usize) -> (OrderPlanner, Vec<ServerId>) {
    let mut fleet = fleet(count, 1).with_version(ConfigVersion::new(9));
    for service in fleet.services.values_mut() {
        service.weights = WeightsVersion::new(2);
    }
    let mut planner = OrderPlanner::new(OrderConfig::new());
    planner.adopt(&fleet);
    let servers: Vec<_> = fleet.servers.keys().cloned().collect();
    for server in &servers {
        planner.observe_weights(server, WeightsVersion::new(1));
    }
    (planner, servers)
}

/// Returns the server of the next order at `now`.
fn next(planner: &mut OrderPlanner, now: Timestamp) -> Option<ServerId> {
    planner.next_order(now).map(|o| o.server)
}

/// Returns the servers that get orders until `end`, looked up each 50 ms, each of which fails.
fn failed_orders(planner: &mut OrderPlanner, start: Timestamp, end: Timestamp) -> Vec<ServerId> {
    let mut orders = Vec::new();
    let mut now = start;
    while now < end {
        if let Some(server) = next(planner, now) {
            planner.record_failure(&server, now);
            orders.push(server);
        }
        now = now + Duration::from_millis(50);
    }
    orders
}

/// Guards against orders to a server that asked for a pause while others can load.
#[gtest]
fn held_servers_get_orders_last() {
    let (mut planner, servers) = planner(3);
    planner.hold(&servers[0], START + PAUSE, START);
    let mut now = START;
    let mut orders = Vec::new();
    while orders.len() < servers.len() && now < START + Duration::from_secs(8) {
        if let Some(server) = next(&mut planner, now) {
            planner.observe_weights(&server, WeightsVersion::new(2));
            orders.push(server);
        }
        now = now + Duration::from_millis(50);
    }
    let expected = [&servers[1], &servers[2], &servers[0]].map(Clone::clone);
    expect_that!(orders, eq(&expected.to_vec()));
}

/// Guards against a rollout that pauses stop, and against more than one order during a pause.
#[gtest]
fn servers_that_are_all_held_get_one_order_each() {
    let (mut planner, servers) = planner(2);
    let end = START + PAUSE;
    for server in &servers {
        planner.hold(server, end, START);
    }
    expect_that!(failed_orders(&mut planner, START, end), eq(&servers));
    expect_that!(next(&mut planner, end), some(eq(&servers[0])));
}

/// Guards against an order that is lost and sent again and again during a pause.
#[gtest]
fn a_lost_order_is_not_repeated_during_the_pause() {
    let (mut planner, servers) = planner(1);
    let end = START + PAUSE;
    planner.hold(&servers[0], end, START);
    let mut times = Vec::new();
    let mut now = START;
    while now <= end {
        times.extend(planner.next_order(now).map(|_| now));
        now = now + Duration::from_millis(50);
    }
    expect_that!(times, eq(&vec![START, end]));
}

/// Guards against a failed order that is sent again during the pause that follows it.
#[gtest]
fn a_failed_order_waits_for_the_end_of_a_later_pause() {
    let (mut planner, servers) = planner(1);
    expect_that!(next(&mut planner, START), some(eq(&servers[0])));
    planner.record_failure(&servers[0], START);
    let end = START + Duration::from_secs(3);
    planner.hold(&servers[0], end, START + Duration::from_millis(100));
    expect_that!(failed_orders(&mut planner, START, end), is_empty());
    // The failed load no longer counts, so only the pause can wake the planner.
    expect_that!(
        planner.next_wakeup(START + Duration::from_secs(2)),
        some(eq(end))
    );
    expect_that!(next(&mut planner, end), some(eq(&servers[0])));
}

/// Guards against a pause that outlasts the incarnation that asked for it.
#[gtest]
fn a_pause_that_ends_early_allows_the_order_again() {
    let (mut planner, servers) = planner(1);
    let end = START + PAUSE;
    planner.hold(&servers[0], end, START);
    expect_that!(next(&mut planner, START), some(eq(&servers[0])));
    planner.record_failure(&servers[0], START);
    let later = START + Duration::from_secs(2);
    expect_that!(next(&mut planner, later), none());
    planner.hold(&servers[0], Timestamp::ZERO, later);
    expect_that!(next(&mut planner, later), some(eq(&servers[0])));
}
