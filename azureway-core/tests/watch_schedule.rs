//! When an entry asks the platform, and for how long it lets itself be kept waiting.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// How long a watch is kept that has no news.
const WAIT: Duration = Duration::from_secs(2);
/// The longest wait after a failure.
const CAP: Duration = Duration::from_millis(500);
const START: Timestamp = Timestamp::from_millis(3_600_000);

fn plan() -> WatchSchedule {
    let mut plan = WatchSchedule::new(7).with_timing(WAIT, Duration::ZERO, CAP);
    plan.record_success(5, START);
    plan
}

#[gtest]
fn a_platform_that_answers_may_keep_a_watch() {
    expect_that!(plan().next(START), eq(WatchStep::Watch(5, WAIT)));
}

/// A call that a silent platform took in ends with its limit, also if the platform is back
/// meanwhile: a change that it then tells must not wait for the limit of a watch.
#[gtest]
fn a_platform_that_failed_is_not_let_keep_a_call() {
    let mut plan = plan();
    let mut now = START;
    for _ in 0..6 {
        plan.record_failure(ErrorKind::Unavailable, now);
        now = now + CAP;
        expect_that!(plan.next(now), eq(WatchStep::Watch(5, Duration::ZERO)));
    }
    plan.record_success(6, now);
    expect_that!(plan.next(now), eq(WatchStep::Watch(6, WAIT)));
}
