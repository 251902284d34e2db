//! Tests of dating changes by the answers to other watches. The pattern: several long watches whose
//! answers each date the changes of the others.

use azureway_core::prelude::*;
use googletest::prelude::*;

const ERA: Option<StoreEra> = Some(StoreEra::new(1));

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[gtest]
fn a_change_happened_after_the_last_answer_that_does_not_include_it() {
    let mut times = ReportTimes::new();
    expect_that!(times.since(ERA, 5), none());
    times.record(ERA, 4, at(100));
    times.record(ERA, 6, at(300));
    times.record(ERA, 5, at(200));
    for (version, expected) in [
        (4, None),
        (5, Some(at(100))),
        (6, Some(at(200))),
        (7, Some(at(300))),
    ] {
        expect_that!(times.since(ERA, version), eq(expected), "{version}");
    }
}

#[gtest]
fn answers_of_another_era_date_nothing() {
    let mut times = ReportTimes::new();
    times.record(ERA, 400, at(100));
    let restored = Some(StoreEra::new(2));
    expect_that!(times.since(restored, 500), none());
    times.record(restored, 90, at(200));
    expect_that!(times.since(ERA, 500), none());
    expect_that!(times.since(restored, 91), some(eq(at(200))));
}

#[gtest]
fn the_oldest_answers_are_dropped() {
    let mut times = ReportTimes::new();
    (0..100).for_each(|n| times.record(ERA, n, at(n)));
    expect_that!(times.since(ERA, 3), none());
    expect_that!(times.since(ERA, 100), some(eq(at(99))));
}
