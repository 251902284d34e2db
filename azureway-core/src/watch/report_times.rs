//! Until when the platform's answers of any kind have reported every change.

use smallvec::SmallVec;

use crate::domain::{StoreEra, Timestamp};

/// The latest answers of the platform to any watch of this entry, which date the changes that other
/// watches report.
///
/// The platform numbers the changes of all kinds with one counter. A change whose number is above
/// that of an answer happened after the time until which the answer reports every change.
#[derive(Clone, Debug, Default)]
pub struct ReportTimes {
    era: Option<StoreEra>,
    /// The version of each answer and the time until which it reports every change, the oldest
    /// first.
    answers: SmallVec<[(u64, Timestamp); MAX_ANSWERS]>,
}

/// The number of answers that are kept. Four watches of two seconds have fewer within the limits of
/// a call.
const MAX_ANSWERS: usize = 16;

impl ReportTimes {
    /// Creates the times of an entry that has no answer yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer of `era` that reports every change up to `version`, which was complete at
    /// `until`.
    pub fn record(&mut self, era: Option<StoreEra>, version: u64, until: Timestamp) {
        if era != self.era {
            // Versions of different eras cannot be compared.
            self.era = era;
            self.answers.clear();
        }
        if self.answers.len() == MAX_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push((version, until));
    }

    /// Returns the earliest time at which the change `version` of `era` can have happened, if it is
    /// known.
    pub fn since(&self, era: Option<StoreEra>, version: u64) -> Option<Timestamp> {
        let earlier = self.answers.iter().filter(|(known, _)| *known < version);
        let earlier = earlier.map(|(_, until)| *until);
        earlier.max().filter(|_| era == self.era)
    }
}
