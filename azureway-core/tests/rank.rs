//! Tests of the rank of requests from the priorities of accounts and routes.

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
        rank: rank(priority),
        priority,
        max_attempts: 1,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
    }
}

fn rank(priority: u8) -> Rank {
    match priority {
        0 => Rank::Urgent,
        _ => Rank::Drafting,
    }
}

fn account(number: usize, priority: Option<u8>) -> ClientAccount {
    let mut account = ClientAccount::new(AccountId::new(&format!("account-{number}")));
    account.priority = priority.map(|p| (rank(p), p));
    account
}

/// Returns the ranks of the requests of the first of `accounts` on routes of priority 0 and 2.
fn ranks(accounts: &[Option<u8>]) -> [Rank; 2] {
    let accounts = accounts.iter().enumerate();
    let accounts: Vec<_> = accounts.map(|(i, p)| account(i, *p)).collect();
    let fleet = accounts
        .iter()
        .cloned()
        .fold(Fleet::new(), Fleet::with_account);
    [0, 2].map(|priority| fleet.rank_of(&route(priority), &accounts[0]))
}

#[gtest]
fn routes_decide_among_accounts_of_equal_priority() {
    for accounts in [
        &[None, None][..],
        &[Some(1), Some(1)],
        &[Some(0), Some(0)],
        &[Some(1), Some(2)],
        &[Some(1), None],
    ] {
        let expected = eq([Rank::Urgent, Rank::Drafting]);
        expect_that!(ranks(accounts), expected, "{accounts:?}");
    }
}

#[gtest]
fn a_higher_account_priority_takes_precedence_over_the_route() {
    let urgent = [Rank::Urgent; 2];
    expect_that!(ranks(&[Some(0), Some(1)]), eq(urgent));
    let drafting = [Rank::Drafting; 2];
    expect_that!(ranks(&[Some(2), Some(1)]), eq(drafting));
    expect_that!(ranks(&[Some(1), Some(0)]), eq(drafting));
}
