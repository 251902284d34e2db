//! What a change does to one section.

use super::{SectionView, TeamId};

/// What a change does to one section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionChange {
    /// The name of the section.
    pub name: Box<str>,
    /// The text before, or `None` where the change adds the section.
    pub before: Option<Box<str>>,
    /// The text after, or `None` where the change removes the section.
    pub after: Option<Box<str>>,
}

impl SectionChange {
    /// Creates the change from one text to another of the section with `name`.
    pub fn new(name: &str, before: Option<&str>, after: Option<&str>) -> Self {
        Self {
            name: name.into(),
            before: before.map(Into::into),
            after: after.map(Into::into),
        }
    }

    /// Returns the change that takes this one back.
    pub fn inverse(&self) -> Self {
        Self::new(&self.name, self.after.as_deref(), self.before.as_deref())
    }

    /// Tells whether `team` may make the change.
    ///
    /// A section that exists belongs to the team that it names, which may also hand it over
    /// to another; a new section must name the team that adds it.
    pub fn is_allowed(&self, team: &TeamId) -> bool {
        let text = self.before.as_deref().or(self.after.as_deref());
        let (name, text) = (&*self.name, text.unwrap_or_default());
        SectionView { name, text }.team() == team.as_str()
    }
}
