//! The timer for the membership's rounds of heartbeats.

use std::time::Duration;

use crate::domain::Timestamp;
use crate::util::Xorshift;

/// The timer of heartbeat rounds.
///
/// A new update may bring a round forward, but only one for every two regular rounds, so that the
/// traffic stays bounded.
#[derive(Clone, Debug)]
pub struct RoundTimer {
    next: Timestamp,
    last: Timestamp,
    credits: u32,
    early: bool,
    rng: Xorshift,
}

/// The credits that an early round costs; a regular one earns one.
const EARLY_COST: u32 = 2;
/// The largest number of credits: enough for three early rounds.
const CREDITS_MAX: u32 = 3 * EARLY_COST;
/// The shortest time between two rounds.
const ROUND_GAP: Duration = Duration::from_millis(50);
/// The jitter of a round, as a divisor of the interval.
const JITTER_DIVISOR: u64 = 5;

impl RoundTimer {
    /// Creates a timer whose first round is at `now`. `seed` determines the jitter.
    pub const fn new(seed: u64, now: Timestamp) -> Self {
        Self {
            next: now,
            last: Timestamp::ZERO,
            credits: CREDITS_MAX,
            early: false,
            rng: Xorshift::new(seed),
        }
    }

    /// Returns the time of the next round.
    pub const fn next_round(&self) -> Timestamp {
        self.next
    }

    /// Returns whether a round is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next
    }

    /// Schedules the next round for `now`, without using credits.
    pub const fn start_now(&mut self, now: Timestamp) {
        self.next = now;
    }

    /// Brings the next round forward if the credits suffice.
    pub fn bring_forward(&mut self, now: Timestamp) {
        let soon = now.max(self.last + ROUND_GAP);
        if self.early || self.credits < EARLY_COST || self.next <= soon {
            return;
        }
        self.credits -= EARLY_COST;
        self.early = true;
        self.next = soon;
    }

    /// Records that a round was sent and schedules the next.
    pub fn schedule_next(&mut self, interval: Duration, now: Timestamp) {
        if !self.early {
            self.credits = (self.credits + 1).min(CREDITS_MAX);
        }
        self.early = false;
        self.last = now;
        let micros = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
        let spread = (micros / JITTER_DIVISOR).max(1);
        let drawn = self.rng.next_bits() % spread;
        self.next = now + Duration::from_micros(micros - spread / 2 + drawn);
    }
}
