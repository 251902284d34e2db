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
    /// to another. A new section is added by the team that it names, or for that team by
    /// [`TeamId::DEFAULT`], which thus brings new teams in.
    pub fn is_allowed(&self, team: &TeamId) -> bool {
        let owner = |text| SectionView { name: "", text }.team();
        match (self.before.as_deref(), self.after.as_deref()) {
            (Some(before), _) => owner(before) == team.as_str(),
            (None, Some(after)) => {
                owner(after) == team.as_str() || team.as_str() == TeamId::DEFAULT
            }
            (None, None) => true,
        }
    }
}
