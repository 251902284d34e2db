//! Who makes a change, when and why.

use super::{ChangeId, ChangeTime, TeamId};

/// Who makes a change, when and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMetadata {
    /// The identity of the change.
    pub id: ChangeId,
    /// The person.
    pub author: Box<str>,
    /// The team that the person acts for.
    pub team: TeamId,
    /// When the change was made.
    pub time: ChangeTime,
    /// Why.
    pub reason: Box<str>,
}

impl ChangeMetadata {
    /// Creates a note without a reason.
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
