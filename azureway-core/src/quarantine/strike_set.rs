//! The strikes of one request.

use std::time::Duration;

use smallvec::SmallVec;

use super::{CrashSite, Strike, StrikeState, SuspectStatus};
use crate::domain::{Incarnation, Timestamp};

/// A strike as it is kept: where, how sure, since when and until when.
type Entry = (CrashSite, StrikeState, Timestamp, Timestamp);

/// The strikes of one request, at most one a site.
#[derive(Clone, Debug, Default)]
pub struct StrikeSet {
    entries: SmallVec<[Entry; 2]>,
}

/// The strikes that quarantine a request.
const STRIKES_MAX: usize = 2;
/// The strikes of one request that are kept. Twice what quarantines it, for cleared ones.
const ENTRIES_MAX: usize = 2 * STRIKES_MAX;

impl StrikeSet {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a strike. Returns whether it was new.
    pub fn merge(&mut self, strike: &Strike, now: Timestamp) -> bool {
        let until = now + strike.ttl;
        if let Some(old) = self.entries.iter_mut().find(|e| e.0 == strike.site) {
            if strike.state <= old.1 {
                return false;
            }
            (old.1, old.3) = (strike.state, until);
            return true;
        }
        if self.entries.len() == ENTRIES_MAX {
            self.drop_weakest();
        }
        self.entries
            .push((strike.site.clone(), strike.state, now, until));
        true
    }

    /// Returns how the request stands. `patience` is how long an unproved strike counts whose
    /// server's incarnation is not known, since nothing can prove or clear it.
    pub fn status(&self, patience: Duration, now: Timestamp) -> SuspectStatus {
        let counts = |e: &&Entry| match e.1 {
            _ if e.3 <= now => false,
            StrikeState::Unconfirmed if e.0.incarnation == Incarnation::ZERO => {
                now.since(e.2) < patience
            }
            StrikeState::Unconfirmed | StrikeState::Confirmed => true,
            StrikeState::Tentative | StrikeState::Cleared => false,
        };
        match self.entries.iter().filter(counts).count() {
            0 => SuspectStatus::Clear,
            count if count < STRIKES_MAX => SuspectStatus::Suspect,
            _ => SuspectStatus::Quarantined,
        }
    }

    /// Returns the strikes that are not cleared, each with the time since which it stands.
    pub fn active(&self) -> impl Iterator<Item = (&CrashSite, StrikeState, Timestamp)> {
        let open = self.entries.iter();
        open.filter(|e| e.1 != StrikeState::Cleared)
            .map(|e| (&e.0, e.1, e.2))
    }

    /// Drops strikes that no longer hold. Returns whether any is left.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        self.entries.retain(|e| e.3 > now);
        !self.entries.is_empty()
    }

    /// Drops the strike that says least, the oldest first.
    fn drop_weakest(&mut self) {
        let key = |e: &Entry| match e.1 {
            StrikeState::Cleared => (0, e.2),
            StrikeState::Tentative => (1, e.2),
            StrikeState::Unconfirmed => (2, e.2),
            StrikeState::Confirmed => (3, e.2),
        };
        let places = 0..self.entries.len();
        if let Some(place) = places.min_by_key(|p| key(&self.entries[*p])) {
            self.entries.remove(place);
        }
    }
}
