//! Tests of how a reader dates the changes that a peer has missed.

use azureway_core::prelude::*;
use googletest::prelude::*;

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Guards against older weights that are dated by the last of several newer ones, since the others were
/// never told.
#[gtest]
fn a_peer_that_missed_several_changes_is_told_when_the_first_can_have_happened() {
    let mut times = ChangeTimes::new(10);
    expect_that!(times.since(10), none());
    times.record(12, at(500));
    times.record(15, at(1_200));
    let rows = [
        (10, Some(at(500))),
        (11, Some(at(500))),
        (12, Some(at(1_200))),
        (14, Some(at(1_200))),
        (15, None),
    ];
    for (after, since) in rows {
        expect_that!(times.since(after), eq(since), "after {after}");
    }
    // What came before the first answer is not known.
    expect_that!(times.since(9), none());
}

/// Guards against the same once the first of the changes is no longer kept.
#[gtest]
fn a_peer_that_missed_more_than_is_kept_is_told_no_time() {
    let mut times = ChangeTimes::new(10);
    for step in 1..=20 {
        times.record(10 + step, at(100 * step));
    }
    expect_that!(times.since(10), none());
    expect_that!(times.since(21), none());
    expect_that!(times.since(28), eq(Some(at(1_900))));
    expect_that!(times.since(29), eq(Some(at(2_000))));
}

/// Guards against a peer's time that counts although this entry knows a later one, and against news that is
/// dated two seconds early although the peer knows better.
#[gtest]
fn the_later_of_two_earliest_times_counts() {
    let mut bound = ChangeBound::new(at(0));
    bound.record_relayed(at(1_000), None);
    let cases = [
        (None, 1_000),
        (Some(at(400)), 1_000),
        (Some(at(2_600)), 2_600),
    ];
    for (since, expected) in cases {
        let mut bound = bound;
        let earliest = bound.record_relayed(at(3_000), since);
        expect_that!(earliest, eq(at(expected)), "{since:?}");
        // Only what was reported bounds the next change.
        expect_that!(bound.reported_until(), eq(at(3_000)));
    }
}
