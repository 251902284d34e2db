//! A section within the text of the document, and the team that owns it.

use super::TeamId;

/// A section of the document: its name and its text, borrowed from the document's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SectionView<'a> {
    /// The text between the brackets of the header; empty for the text before the first header.
    pub name: &'a str,
    /// The text from the comments above the header to the last line that is not blank.
    pub text: &'a str,
}

impl<'a> SectionView<'a> {
    /// Returns the team that owns the section, or [`TeamId::DEFAULT`] if it names none.
    pub fn team(&self) -> &'a str {
        let entries = self.text.lines().filter_map(|l| l.split_once('='));
        let mut teams = entries.filter(|(key, _)| key.trim() == "team");
        teams.next().map_or(TeamId::DEFAULT, |(_, v)| v.trim())
    }
}
