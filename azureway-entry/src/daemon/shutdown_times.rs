//! The times of a shutdown, which its grace period determines.

use std::time::Duration;

/// The times of the steps of a shutdown, counted from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// The time until which new requests are accepted.
    pub accept: Duration,
    /// The time at which unfinished requests are given up.
    pub finish: Duration,
    /// The time at which the process ends, although answers may not be written yet.
    pub exit: Duration,
}

/// The time for which requests are still accepted after the stop signal. The balancer polls
/// readiness each second and removes an instance after two failures. A request that arrives more
/// than three seconds after the signal has to end within the grace period.
const ACCEPT_TIME: Duration = Duration::from_millis(2_900);
/// The longest time before the end of the grace period at which unfinished requests are given up.
const FINISH_MARGIN: Duration = Duration::from_millis(500);
/// The part of the grace period that is the longest such time. An answer may be cut only in the
/// last sixth of the period.
const MARGIN_DIVISOR: u32 = 12;

impl ShutdownTimes {
    /// Creates the times for a grace period, at whose end the process is killed.
    pub fn new(grace: Duration) -> Self {
        let margin = FINISH_MARGIN.min(grace / MARGIN_DIVISOR);
        Self {
            accept: ACCEPT_TIME.min(grace / 2),
            finish: grace.saturating_sub(margin),
            exit: grace.saturating_sub(margin / 2),
        }
    }
}
