//! When the latest changes that the platform reported can have happened.

use smallvec::SmallVec;

use crate::domain::Timestamp;

/// The latest answers with changes, from which an entry dates them for peers that know an older version.
///
/// A peer may have missed several changes, and hears only of the newest state of each object. So what it is told
/// is dated by the first answer that it has missed.
#[derive(Clone, Debug, Default)]
pub struct ChangeTimes {
    /// The version of each answer and the earliest time at which its changes can have happened, the oldest
    /// first.
    answers: SmallVec<[(u64, Timestamp); MAX_ANSWERS]>,
    /// The version after which every answer with changes is kept.
    first: u64,
}

/// The number of answers that are kept. A peer is behind by those of one wait, seldom more than two.
const MAX_ANSWERS: usize = 8;

impl ChangeTimes {
    /// Creates the times of the changes after version `first`.
    pub fn new(first: u64) -> Self {
        Self {
            answers: SmallVec::new(),
            first,
        }
    }

    /// Records an answer with changes up to `version`, which happened no earlier than at `since`.
    pub fn record(&mut self, version: u64, since: Timestamp) {
        if self.answers.len() == MAX_ANSWERS {
            let (dropped, _) = self.answers.remove(0);
            self.first = dropped;
        }
        self.answers.push((version, since));
    }

    /// Returns the earliest time at which the changes after version `after` can have happened, if it is known.
    pub fn since(&self, after: u64) -> Option<Timestamp> {
        let missed = self.answers.iter().find(|(version, _)| *version > after);
        let since = missed.map(|(_, since)| *since);
        since.filter(|_| after >= self.first)
    }
}
