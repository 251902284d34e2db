//! Tests of request precedence: the account's priority goes before the route's.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

fn route(priority: u8) -> Route {
    Route {
        id: RouteId::new("r"),
        host: "h".into(),
        prefix: "/".into(),
        splits: [(ServiceId::new("s"), 1)].into_iter().collect(),
        kind: RequestKind::Repeatable,
        streamed: true,
        public: false,
        rank: Rank::Drafting,
        priority,
        max_attempts: 1,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
    }
}

fn account(priority: Option<u8>) -> ClientAccount {
    let mut account = ClientAccount::new(AccountId::new("a"));
    account.priority = priority.map(|p| (Rank::Drafting, p));
    account
}

#[gtest]
fn precedence_orders_by_account_priority_then_by_route_priority() {
    // Account and route priority, from the highest precedence to the lowest.
    let order = [
        (0, 0),
        (0, 1),
        (0, 2),
        (1, 0),
        (1, 2),
        (2, 0),
        (2, 2),
        (3, 0),
    ];
    let all = order.map(|(a, r)| route(r).precedence(&account(Some(a))));
    expect_that!(all.is_sorted_by(|a, b| a < b), eq(true), "{all:?}");
}

#[gtest]
fn without_an_account_priority_the_route_priority_decides() {
    let all = [0, 1, 2].map(|r| route(r).precedence(&account(None)));
    expect_that!(all.is_sorted_by(|a, b| a < b), eq(true), "{all:?}");
}

#[gtest]
fn extreme_priorities_do_not_overflow() {
    for (a, r) in [(u8::MAX, u8::MAX), (0, u8::MAX), (u8::MAX, 0)] {
        let priority = route(r).precedence(&account(Some(a)));
        expect_that!(priority, ge(route(0).precedence(&account(Some(a)))));
    }
}
