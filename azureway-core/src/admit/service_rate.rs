//! Measures how fast a pool serves its queue, to predict the wait of a new request.

use std::time::Duration;

use crate::domain::Timestamp;

/// The rate at which a pool serves queued requests, in tokens per second.
///
/// It is measured only while requests are queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    tokens: f64,
    seconds: f64,
    updated: Timestamp,
}

/// The measured time, in seconds, beyond which past work and time are halved.
const WINDOW: f64 = 2.0;
/// The least measured time for which the rate is known, in seconds.
const MIN_TIME: f64 = 0.5;

impl ServiceRate {
    /// Creates a rate that is not known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts measuring at `now`, when the first request is queued.
    pub fn start(&mut self, now: Timestamp) {
        self.updated = now;
    }

    /// Records that a request of `cost` tokens left the queue at `now` to be served.
    pub fn record(&mut self, cost: u64, now: Timestamp) {
        self.seconds += now.since(self.updated).as_secs_f64();
        self.tokens += cost as f64;
        self.updated = now;
        if self.seconds > WINDOW {
            self.seconds /= 2.0;
            self.tokens /= 2.0;
        }
    }

    /// Returns the time in which `tokens` tokens are served, if the rate is known.
    pub fn time_for(&self, tokens: u64, now: Timestamp) -> Option<Duration> {
        let seconds = self.seconds + now.since(self.updated).as_secs_f64();
        let known = seconds >= MIN_TIME && self.tokens > 0.0;
        let time = known.then(|| tokens as f64 * seconds / self.tokens)?;
        Duration::try_from_secs_f64(time).ok()
    }
}
