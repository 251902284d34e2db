//! Predicts the pace of a backend server's machine from the figures that it has stated.

use std::time::Duration;

use crate::domain::{Pace, Timestamp};

/// The stated paces of a server's machine: the last one, and their average.
///
/// A figure says much about the next moments and little about a second later, for which the average
/// says more. So the prediction for some work starts at the last figure, as far as it still counts,
/// and returns to the average over the time that the work takes.
#[derive(Clone, Copy, Debug)]
pub struct PaceMeter {
    last: Pace,
    stated: Timestamp,
    average: Pace,
    known: bool,
}

/// The time in which a figure loses most of its weight against the average.
const MEMORY: Duration = Duration::from_millis(600);
/// The time over which figures are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(10);

impl PaceMeter {
    /// Creates the meter of a server that has stated no pace, which counts as the usual one.
    pub const fn new() -> Self {
        Self {
            last: Pace::USUAL,
            stated: Timestamp::ZERO,
            average: Pace::USUAL,
            known: false,
        }
    }

    /// Records the pace that the server stated at `now`.
    pub fn observe(&mut self, pace: Pace, now: Timestamp) {
        // Each figure stands for the time since the one before it, so a server that answers often
        // has the same average as one that answers rarely.
        let elapsed = now.since(self.stated).as_secs_f64();
        let weight = match self.known {
            true => -(-elapsed / AVERAGING_TIME.as_secs_f64()).exp_m1(),
            false => 1.0,
        };
        self.average = self.average.toward(pace, weight);
        (self.last, self.stated, self.known) = (pace, now, true);
    }

    /// Returns the average pace expected while work that usually takes `work` is done from `now` on.
    pub fn expected(&self, work: Duration, now: Timestamp) -> Pace {
        let memory = MEMORY.as_secs_f64();
        let age = now.since(self.stated).as_secs_f64() / memory;
        let length = (work.as_secs_f64() / memory).max(f64::EPSILON);
        // The mean of a weight that decays exponentially, over the length of the work.
        let weight = (-age).exp() * -(-length).exp_m1() / length;
        self.average.toward(self.last, weight)
    }

    /// Returns the time that work takes which usually takes `work`, if it starts at `now`.
    pub fn time_for(&self, work: Duration, now: Timestamp) -> Duration {
        match self.known {
            true => {
                let seconds = work.as_secs_f64() * self.expected(work, now).factor();
                Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
            }
            false => work,
        }
    }

    /// Returns how much longer than usual work takes that starts at `now` and took `time` on average.
    pub fn slowdown(&self, time: Duration, now: Timestamp) -> Duration {
        let usual = time.div_f64(self.average.factor());
        self.time_for(usual, now).saturating_sub(usual)
    }
}

impl Default for PaceMeter {
    fn default() -> Self {
        Self::new()
    }
}
