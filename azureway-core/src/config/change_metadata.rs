//! The part of a change's record that is fixed before the change is written.

use super::{ChangeId, ChangeTime, TeamId};

/// The metadata of a change: who makes it, when and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMetadata {
    /// The identity of the change.
    pub id: ChangeId,
    /// The person who makes the change.
    pub author: Box<str>,
    /// The team that the person acts for.
    pub team: TeamId,
    /// The time at which the change was made.
    pub time: ChangeTime,
    /// Why the change is made; may be empty.
    pub reason: Box<str>,
}

impl ChangeMetadata {
    /// Creates metadata without a reason.
    pub fn new(id: ChangeId, author: &str, team: TeamId, time: ChangeTime) -> Self {
        Self {
            id,
            author: author.into(),
            team,
            time,
            reason: "".into(),
        }
    }

    /// Sets the reason.
    #[must_use]
    pub fn with_reason(mut self, reason: &str) -> Self {
        self.reason = reason.into();
        self
    }
}
