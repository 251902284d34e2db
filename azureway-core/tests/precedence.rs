//! The priority of a request, by those of its account and its route.

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
fn the_account_goes_first_and_then_the_route() {
    // From the most urgent to the least.
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
fn without_a_priority_of_the_account_the_route_decides() {
    let all = [0, 1, 2].map(|r| route(r).precedence(&account(None)));
    expect_that!(all.is_sorted_by(|a, b| a < b), eq(true), "{all:?}");
}

#[gtest]
fn any_priority_is_taken() {
    for (a, r) in [(u8::MAX, u8::MAX), (0, u8::MAX), (u8::MAX, 0)] {
        let priority = route(r).precedence(&account(Some(a)));
        expect_that!(priority, ge(route(0).precedence(&account(Some(a)))));
    }
}
