//! Tests of the retry budget, which all entries share without a common counter.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;

/// The share of requests that may be retries, in percent.
const PERCENT: u32 = 20;
/// The window of the slack, in seconds.
const WINDOW: u64 = 10;

fn slack(count: u32) -> RetrySlack {
    RetrySlack {
        count,
        window: Duration::from_secs(WINDOW),
    }
}

proptest! {
    /// Each step adds some requests to an entry and spends as many retries as it can.
    #[test]
    fn retries_in_any_window_stay_within_share_and_slack(
        entries in 1u32..9,
        count in 8u32..80,
        steps in prop::collection::vec((0u64..1_500, 0usize..9, 0u32..30, 0u32..30), 1..120),
    ) {
        let pool = PoolId::new("engines");
        let new = || {
            let mut budgets = RetryBudgets::new(PERCENT, Some(slack(count)));
            budgets.set_entries(entries);
            budgets
        };
        let mut all: Vec<_> = (0..entries).map(|_| new()).collect();
        let (mut now, mut log) = (Timestamp::from_millis(3_600_000), Vec::new());
        for (wait, entry, requests, wanted) in steps {
            now = now + Duration::from_millis(wait);
            let budget = all[entry % entries as usize].for_pool(&pool, now);
            (0..requests).for_each(|_| budget.deposit());
            let retries = (0..wanted).filter(|_| budget.try_spend()).count();
            log.push((now, requests, retries));
        }
        for (start, ..) in &log {
            let end = *start + Duration::from_secs(WINDOW);
            // A window can spend what its own requests and those of the window before earned.
            let from = Timestamp::from_micros(
                start.as_micros() - Duration::from_secs(WINDOW).as_micros() as u64,
            );
            let inside = log.iter().filter(|(t, ..)| t >= start && *t < end);
            let retries: usize = inside.clone().map(|(.., r)| r).sum();
            let asked: u32 = inside.map(|(_, a, _)| a).sum();
            let before = log.iter().filter(|(t, ..)| *t >= from && t < start);
            let before: u32 = before.map(|(_, a, _)| a).sum();
            let allowed = f64::from(asked + before) * f64::from(PERCENT) / 100.0
                + f64::from(count.max(2 * entries));
            prop_assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
        }
    }
}

#[gtest]
fn requests_for_one_pool_earn_no_retries_for_another() {
    let (one, other) = (PoolId::new("one"), PoolId::new("other"));
    let mut budgets = RetryBudgets::new(PERCENT, Some(slack(2)));
    let now = Timestamp::from_millis(3_600_000);
    (0..1_000).for_each(|_| budgets.for_pool(&one, now).deposit());
    let spent = (0..100).filter(|_| budgets.for_pool(&other, now).try_spend());
    expect_that!(spent.count(), le(2));
}

/// An entry that starts while the platform is unavailable cannot know how many entries there are.
/// All of them may have started at the same time, so each may use only a part of the slack.
#[gtest]
fn an_entry_that_knows_of_no_other_entry_gets_only_a_part_of_the_slack() {
    let pool = PoolId::new("one");
    let mut budgets = RetryBudgets::new(PERCENT, Some(slack(48)));
    budgets.set_entries(1);
    let now = Timestamp::from_millis(3_600_000);
    expect_that!(budgets.for_pool(&pool, now).available(), eq(3));
}

#[gtest]
fn more_entries_reduce_the_part_of_each() {
    let pool = PoolId::new("one");
    let mut budgets = RetryBudgets::new(PERCENT, Some(slack(48)));
    let now = Timestamp::from_millis(3_600_000);
    expect_that!(budgets.for_pool(&pool, now).available(), eq(3));
    budgets.set_entries(12);
    expect_that!(budgets.for_pool(&pool, now).available(), eq(2));
}
