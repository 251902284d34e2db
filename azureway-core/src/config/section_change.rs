//! The part of a delta that concerns one section, and the teams that may make it.

use super::{SectionView, TeamId};

/// The change of one section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionChange {
    /// The name of the section.
    pub name: Box<str>,
    /// The text before, or `None` if the change adds the section.
    pub before: Option<Box<str>>,
    /// The text after, or `None` if the change removes the section.
    pub after: Option<Box<str>>,
}

impl SectionChange {
    /// Creates the change of section `name` from the text `before` to the text `after`.
    pub fn new(name: &str, before: Option<&str>, after: Option<&str>) -> Self {
        Self {
            name: name.into(),
            before: before.map(Into::into),
            after: after.map(Into::into),
        }
    }

    /// Returns the change that reverts this one.
    pub fn inverse(&self) -> Self {
        Self::new(&self.name, self.after.as_deref(), self.before.as_deref())
    }

    /// Returns whether `team` may make the change.
    ///
    /// An existing section belongs to the team that it names, which may also assign it to another
    /// team. A new section may be added by the team that it names and by [`TeamId::DEFAULT`], which
    /// can thus add the first section of a new team.
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
