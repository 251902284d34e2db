//! Tests of the end of a site's entry daemon.

use std::time::Duration;

use azureway_entry::daemon::ShutdownTimes;
use googletest::prelude::*;

/// Guards against answers that are cut before the last sixth of a short grace period, and against
/// requests that are accepted until its end.
#[gtest]
fn the_steps_of_a_shutdown_fit_into_every_grace_period() {
    for millis in [0, 1, 500, 1_000, 3_000, 5_000, 8_000, 60_000] {
        let grace = Duration::from_millis(millis);
        let times = ShutdownTimes::new(grace);
        expect_that!(times.accept, le(grace / 2), "{grace:?}");
        expect_that!(times.accept, le(times.finish), "{grace:?}");
        expect_that!(times.finish, ge(grace - grace / 6), "{grace:?}");
        expect_that!(times.exit, ge(times.finish), "{grace:?}");
        expect_that!(times.exit, le(grace), "{grace:?}");
    }
    let times = ShutdownTimes::new(Duration::from_secs(8));
    expect_that!(times.accept, eq(Duration::from_millis(2_900)));
    expect_that!(times.finish, eq(Duration::from_millis(7_500)));
}
