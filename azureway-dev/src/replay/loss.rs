//! Computes from a replay's summary the weighted losses that the users have defined.

use super::Summary;

/// The weighted losses that the users have defined, from 0 (best) to 100 (worst).
///
/// A time to first token `t` counts as a loss of `t / (t + 1 s)`: half for one second, and all
/// for a request that got no token.
#[derive(Clone, Copy, Debug)]
pub struct Loss<'a> {
    summary: &'a Summary,
}

/// The time to first token that counts as half the loss, in milliseconds.
const HALF_LOSS_MILLIS: f64 = 1_000.0;
/// The largest share, in percent.
const FULL_PERCENT: f64 = 100.0;

impl<'a> Loss<'a> {
    /// Creates the losses of a summary.
    pub const fn new(summary: &'a Summary) -> Self {
        Self { summary }
    }

    /// Returns the loss of Smučarski Vosek, which weights the tail latency of urgent requests
    /// most.
    pub fn vosek(&self) -> f64 {
        let s = self.summary;
        let tail = 0.4 * latency_loss(s.urgent_ttft[2]) + 0.2 * latency_loss(s.urgent_ttft[1]);
        let service = 0.1 * missed_share(s.urgent_timely) + 0.1 * missed_share(s.drafting_timely);
        tail + service + self.common()
    }

    /// Returns the loss of Corchos, which weights service by rank and worth most.
    pub fn corchos(&self) -> f64 {
        let s = self.summary;
        let service = 0.4 * missed_share(s.worth_timely)
            + 0.2 * missed_share(s.urgent_timely)
            + 0.1 * missed_share(s.drafting_timely);
        service + 0.1 * latency_loss(s.urgent_ttft[2]) + self.common()
    }

    /// Returns the part that both losses share: recomputed prompt tokens and the small account
    /// that was served worst.
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
