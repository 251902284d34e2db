//! Tests of when an entry watches the platform with a poll timeout, and when without one.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// The time for which a watch is held open if nothing changes.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest delay after a failure.
const BACKOFF_CAP: Duration = Duration::from_millis(500);
const START: Timestamp = Timestamp::from_millis(3_600_000);

fn schedule() -> WatchSchedule {
    let mut schedule = WatchSchedule::new(7).with_timing(POLL_TIMEOUT, Duration::ZERO, BACKOFF_CAP);
    schedule.record_success(5, START);
    schedule
}

#[gtest]
fn watches_are_held_open_after_a_success() {
    expect_that!(
        schedule().next(START),
        eq(WatchStep::Watch(5, POLL_TIMEOUT))
    );
}

/// A call that a failing platform accepted ends only at its timeout, even if the platform has
/// recovered meanwhile. Changes after the recovery must not wait for the timeout of a long watch.
#[gtest]
fn watches_are_not_held_open_after_a_failure() {
    let mut schedule = schedule();
    let mut now = START;
    for _ in 0..6 {
        schedule.record_failure(ErrorKind::Unavailable, now);
        now = now + BACKOFF_CAP;
        expect_that!(schedule.next(now), eq(WatchStep::Watch(5, Duration::ZERO)));
    }
    schedule.record_success(6, now);
    expect_that!(schedule.next(now), eq(WatchStep::Watch(6, POLL_TIMEOUT)));
}

/// A burst of changes costs few calls, and the first change of it is reported without a delay.
#[gtest]
fn watches_wait_longer_while_each_answer_reports_changes() {
    const DELAY: Duration = Duration::from_millis(200);
    let schedule = WatchSchedule::new(7).with_timing(POLL_TIMEOUT, DELAY, BACKOFF_CAP);
    let mut schedule = schedule.with_gathering(true);
    for (changes, delays) in [(1, 1), (3, 2), (1, 3), (1, 3), (0, 1), (2, 1)] {
        schedule.record_success(5, START);
        schedule.record_changes(changes);
        let due = START + DELAY * delays;
        let before = START + (DELAY * delays).saturating_sub(Duration::from_millis(1));
        expect_that!(schedule.next(before), eq(WatchStep::Wait(due)), "{changes}");
        // The time from one answer to the next is bounded all the same.
        let wait = (DELAY + POLL_TIMEOUT).saturating_sub(DELAY * delays);
        expect_that!(
            schedule.next(due),
            eq(WatchStep::Watch(5, wait)),
            "{changes}"
        );
    }
}
