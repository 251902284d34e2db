//! When the rounds of heartbeats are.

use std::time::Duration;

use crate::domain::Timestamp;
use crate::util::Xorshift;

/// When the rounds of heartbeats are. Urgent news may bring a round forward, but
/// only one for every two regular ones, so that the traffic stays bounded.
#[derive(Clone, Debug)]
pub struct RoundTimer {
    next: Timestamp,
    last: Timestamp,
    credits: u32,
    early: bool,
    draws: Xorshift,
}

/// What an early round costs; a regular one earns one credit.
const EARLY_COST: u32 = 2;
/// The credits that can be saved up: three early rounds.
const CREDITS_MAX: u32 = 3 * EARLY_COST;
/// The least time between two rounds.
const ROUND_GAP: Duration = Duration::from_millis(50);
/// The share of the interval by which rounds are spread, as a divisor.
const JITTER_SHARE: u64 = 5;

impl RoundTimer {
    /// Creates a pace whose first round is at `now`. `seed` spreads instances.
    pub const fn new(seed: u64, now: Timestamp) -> Self {
        Self {
            next: now,
            last: Timestamp::ZERO,
            credits: CREDITS_MAX,
            early: false,
            draws: Xorshift::new(seed),
        }
    }

    /// Returns the time of the next round.
    pub const fn next_round(&self) -> Timestamp {
        self.next
    }

    /// Tells whether a round is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next
    }

    /// Makes the next round be now, whatever was planned.
    pub const fn start(&mut self, now: Timestamp) {
        self.next = now;
    }

    /// Brings the next round forward, if an early one is left.
    pub fn hurry(&mut self, now: Timestamp) {
        let soon = now.max(self.last + ROUND_GAP);
        if self.early || self.credits < EARLY_COST || self.next <= soon {
            return;
        }
        self.credits -= EARLY_COST;
        self.early = true;
        self.next = soon;
    }

    /// Notes that a round was sent.
    pub fn finish(&mut self, interval: Duration, now: Timestamp) {
        if !self.early {
            self.credits = (self.credits + 1).min(CREDITS_MAX);
        }
        self.early = false;
        self.last = now;
        let micros = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        let spread = (micros / JITTER_SHARE).max(1);
        let drawn = self.draws.next_bits() % spread;
        self.next = now + Duration::from_micros(micros - spread / 2 + drawn);
    }
}
