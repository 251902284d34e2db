//! Limits the rate of requests that this entry sends to a backend server that names a limit.

use std::time::Duration;

use crate::domain::{PrefixKey, RequestRate, ServerId, Timestamp};
use crate::route::Rendezvous;

/// This entry's share of the rate of requests that a backend server takes from all entries.
///
/// A server in need names the rate with its answers, and no longer names it once the need has
/// passed. Each entry sends its share of the rate, one request at a time, and saves up no more than
/// one: otherwise entries that were idle would exceed the limit together.
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    entries: u32,
    /// The part of a request that this entry has saved up when it hears of a limit. It differs
    /// between entries, so that those that hear of it together do not send together.
    phase: f64,
    limit: Option<RequestRate>,
    /// The requests that may be sent, at most one.
    level: f64,
    updated: Timestamp,
}

/// The sum of the shares of all entries, relative to the limit. Some entries always have less to send
/// than their share.
const OVERBOOKING: f64 = 1.25;
/// The longest wait for the next request, also if the server takes none at all: its answer tells
/// whether the limit still holds. Hundreds of entries together stay below one request a second.
const MAX_WAIT: Duration = Duration::from_secs(600);

impl RateShare {
    /// Creates the share of `server`, which names no limit yet, for one of `entries` entries. `seed`
    /// differs between entries.
    pub fn new(entries: u32, seed: u64, server: &ServerId) -> Self {
        let order = Rendezvous::new(PrefixKey::new(u128::from(seed)));
        Self {
            entries: entries.max(1),
            phase: order.fraction(server),
            limit: None,
            level: 0.0,
            updated: Timestamp::ZERO,
        }
    }

    /// Sets the number of entries that share the server.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Returns the limit that the server names, if any.
    pub const fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Applies the limit that the server named with an answer, or none.
    pub fn observe(&mut self, limit: Option<RequestRate>, now: Timestamp) {
        if limit.is_some() && self.limit.is_none() {
            self.level = self.phase;
        } else {
            self.level = self.level_at(now);
        }
        self.limit = limit;
        self.updated = now;
    }

    /// Returns whether a request may be sent at `now`.
    pub fn allows(&self, now: Timestamp) -> bool {
        self.next_request().is_none_or(|next| next <= now)
    }

    /// Records that a request is sent.
    pub fn spend(&mut self, now: Timestamp) {
        if self.limit.is_some() {
            self.level = self.level_at(now) - 1.0;
            self.updated = now;
        }
    }

    /// Returns when the next request may be sent, if the server names a limit.
    pub fn next_request(&self) -> Option<Timestamp> {
        let rate = self.rate()?;
        let wait = Duration::try_from_secs_f64((1.0 - self.level).max(0.0) / rate);
        Some(self.updated + wait.map_or(MAX_WAIT, |w| w.min(MAX_WAIT)))
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let earned = self.rate().unwrap_or(0.0) * now.since(self.updated).as_secs_f64();
        (self.level + earned).min(1.0)
    }

    /// Returns this entry's rate in requests per second, if the server names a limit.
    pub fn rate(&self) -> Option<f64> {
        let limit = self.limit?;
        Some(limit.per_second() * OVERBOOKING / f64::from(self.entries))
    }
}
