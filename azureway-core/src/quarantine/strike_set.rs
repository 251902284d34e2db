//! The strikes of one request.

use std::time::Duration;

use smallvec::SmallVec;

use super::{CrashSite, Strike, StrikeState, SuspectStatus};
use crate::domain::{Incarnation, Timestamp};

/// A strike as it is kept: its site, its state, the time it was added and the time it expires.
type Entry = (CrashSite, StrikeState, Timestamp, Timestamp);

/// The strikes of one request, at most one for each site.
#[derive(Clone, Debug, Default)]
pub struct StrikeSet {
    entries: SmallVec<[Entry; 2]>,
}

/// The number of strikes that quarantine a request.
const QUARANTINE_STRIKES: usize = 2;
/// The largest number of strikes kept for one request: twice those that quarantine it, to leave
/// room for cleared ones.
const MAX_ENTRIES: usize = 2 * QUARANTINE_STRIKES;

impl StrikeSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a strike. Returns whether it was new or raised the state of a known strike.
    pub fn merge(&mut self, strike: &Strike, now: Timestamp) -> bool {
        let expires = now + strike.ttl;
        if let Some(old) = self.entries.iter_mut().find(|e| e.0 == strike.site) {
            if strike.state <= old.1 {
                return false;
            }
            (old.1, old.3) = (strike.state, expires);
            return true;
        }
        if self.entries.len() == MAX_ENTRIES {
            self.drop_weakest();
        }
        self.entries
            .push((strike.site.clone(), strike.state, now, expires));
        true
    }

    /// Returns the status of the request at `now`. `ttl` is the time for which an unconfirmed
    /// strike counts whose server's incarnation is unknown, since no report can confirm or
    /// clear it.
    pub fn status(&self, ttl: Duration, now: Timestamp) -> SuspectStatus {
        let counts = |e: &&Entry| match e.1 {
            _ if e.3 <= now => false,
            StrikeState::Unconfirmed if e.0.incarnation == Incarnation::ZERO => {
                now.since(e.2) < ttl
            }
            StrikeState::Unconfirmed | StrikeState::Confirmed => true,
            StrikeState::Tentative | StrikeState::Cleared => false,
        };
        match self.entries.iter().filter(counts).count() {
            0 => SuspectStatus::Clear,
            count if count < QUARANTINE_STRIKES => SuspectStatus::Suspect,
            _ => SuspectStatus::Quarantined,
        }
    }

    /// Returns the strikes that are not cleared, each with its state and the time it was added.
    pub fn active(&self) -> impl Iterator<Item = (&CrashSite, StrikeState, Timestamp)> {
        let active = self.entries.iter();
        active
            .filter(|e| e.1 != StrikeState::Cleared)
            .map(|e| (&e.0, e.1, e.2))
    }

    /// Removes expired strikes. Returns whether any strike is left.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        self.entries.retain(|e| e.3 > now);
        !self.entries.is_empty()
    }

    /// Removes the strike with the weakest evidence, and the oldest among equals.
    fn drop_weakest(&mut self) {
        let key = |e: &Entry| match e.1 {
            StrikeState::Cleared => (0, e.2),
            StrikeState::Tentative => (1, e.2),
            StrikeState::Unconfirmed => (2, e.2),
            StrikeState::Confirmed => (3, e.2),
        };
        let indices = 0..self.entries.len();
        if let Some(index) = indices.min_by_key(|i| key(&self.entries[*i])) {
            self.entries.remove(index);
        }
    }
}
