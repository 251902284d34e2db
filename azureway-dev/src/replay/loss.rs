//! The users' weighted losses.

use super::Summary;

/// What a user loses by a replay, from 0, nothing, to 100, everything.
///
/// A time `t` to first token loses `t / (t + 1 s)`, so that a time that is never reached
/// loses all and one second loses half.
#[derive(Clone, Copy, Debug)]
pub struct Loss<'a> {
    summary: &'a Summary,
}

/// The time to first token that loses half, in milliseconds.
const HALF_LOSS_MILLIS: f64 = 1_000.0;
/// The whole, in percent.
const FULL_PERCENT: f64 = 100.0;

impl<'a> Loss<'a> {
    /// Creates the losses of a replay.
    pub const fn new(summary: &'a Summary) -> Self {
        Self { summary }
    }

    /// Returns the loss of Smučarski Vosek, for whom the tail of urgent work weighs the most.
    pub fn vosek(&self) -> f64 {
        let s = self.summary;
        let tail = 0.4 * latency_loss(s.urgent_ttft[2]) + 0.2 * latency_loss(s.urgent_ttft[1]);
        let service = 0.1 * missed_share(s.urgent_timely) + 0.1 * missed_share(s.drafting_timely);
        tail + service + self.common()
    }

    /// Returns the loss of Corchos, for whom service by rank and worth weighs the most.
    pub fn corchos(&self) -> f64 {
        let s = self.summary;
        let service = 0.4 * missed_share(s.worth_timely)
            + 0.2 * missed_share(s.urgent_timely)
            + 0.1 * missed_share(s.drafting_timely);
        service + 0.1 * latency_loss(s.urgent_ttft[2]) + self.common()
    }

    /// Returns what both lose alike: prompts computed anew, and the worst of small accounts.
    fn common(&self) -> f64 {
        0.1 * missed_share(self.summary.hit_rate) + 0.1 * missed_share(self.summary.smallest_timely)
    }
}

fn missed_share(share: f64) -> f64 {
    FULL_PERCENT - share
}

fn latency_loss(time: Option<u64>) -> f64 {
    time.map_or(FULL_PERCENT, |t| {
        t as f64 / (t as f64 + HALF_LOSS_MILLIS) * FULL_PERCENT
    })
}
