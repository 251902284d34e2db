//! Section-wise differences between documents: computing, rebasing, applying and reverting.

use std::collections::HashMap;

use super::{SectionChange, Sections, TeamId};

/// The difference between two documents, as a list of changed sections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    changes: Vec<SectionChange>,
}

impl Delta {
    /// Creates a difference from its changes, at most one for each section.
    pub const fn new(changes: Vec<SectionChange>) -> Self {
        Self { changes }
    }

    /// Returns the changes that turn `old` into `new`. The order of sections is ignored.
    pub fn between(old: &Sections<'_>, new: &Sections<'_>) -> Self {
        let text =
            |sections: &Sections<'_>, name: &str| sections.get(name).map(|s| s.text.to_owned());
        let added = new.iter().filter(|s| old.get(s.name).is_none());
        let names = old.iter().chain(added).map(|s| s.name);
        let changes = names.map(|name| {
            let (before, after) = (text(old, name), text(new, name));
            SectionChange::new(name, before.as_deref(), after.as_deref())
        });
        Self::new(changes.filter(|c| c.before != c.after).collect())
    }

    /// Returns the changes, one for each changed section.
    pub fn changes(&self) -> &[SectionChange] {
        &self.changes
    }

    /// Returns whether the difference has no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the difference that reverts this one.
    #[must_use]
    pub fn inverse(&self) -> Self {
        Self::new(self.changes.iter().map(SectionChange::inverse).collect())
    }

    /// Returns the names of the sections whose change `team` may not make.
    pub fn forbidden(&self, team: &TeamId) -> Vec<Box<str>> {
        let forbidden = self.changes.iter().filter(|c| !c.is_allowed(team));
        forbidden.map(|c| c.name.clone()).collect()
    }

    /// Returns the changes that `current` still lacks; those that it contains already are left out.
    ///
    /// # Errors
    ///
    /// Returns the sections whose text in `current` is neither the old nor the new one, each as the
    /// change that another writer made to it.
    pub fn rebase(&self, current: &Sections<'_>) -> Result<Self, Vec<SectionChange>> {
        let (mut rest, mut conflicts) = (Vec::new(), Vec::new());
        for change in &self.changes {
            let found = current.get(&change.name).map(|s| s.text);
            if found == change.after.as_deref() {
                continue;
            }
            if found == change.before.as_deref() {
                rest.push(change.clone());
            } else {
                let before = change.before.as_deref();
                conflicts.push(SectionChange::new(&change.name, before, found));
            }
        }
        if conflicts.is_empty() {
            Ok(Self::new(rest))
        } else {
            Err(conflicts)
        }
    }

    /// Returns the text of `current` with the changes applied; new sections are appended.
    pub fn apply(&self, current: &Sections<'_>) -> String {
        let changes = self.changes.iter().map(|c| (&*c.name, c));
        let changes: HashMap<&str, &SectionChange> = changes.collect();
        let mut texts: Vec<&str> = Vec::new();
        for section in current.iter() {
            match changes.get(section.name) {
                Some(change) => texts.extend(change.after.as_deref()),
                None => texts.push(section.text),
            }
        }
        let added = self
            .changes
            .iter()
            .filter(|c| current.get(&c.name).is_none());
        texts.extend(added.filter_map(|c| c.after.as_deref()));
        let mut text = texts.join("\n\n");
        text.push('\n');
        text
    }
}
