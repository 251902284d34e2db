//! The document split into its sections.

use std::collections::HashMap;

use super::SectionView;

/// The document split into its sections, in order. The text is not checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections<'a> {
    sections: Vec<SectionView<'a>>,
    places: HashMap<&'a str, usize>,
}

impl<'a> Sections<'a> {
    /// Splits a document. Comments that stand right above a header belong to its section.
    pub fn parse(text: &'a str) -> Self {
        let mut starts = vec![(0, "")];
        let (mut offset, mut comment) = (0, None);
        for line in text.split_inclusive('\n') {
            let trimmed = line.trim();
            if let Some(name) = header(trimmed) {
                starts.push((comment.take().unwrap_or(offset), name));
            } else if trimmed.starts_with([';', '#']) {
                comment.get_or_insert(offset);
            } else {
                comment = None;
            }
            offset += line.len();
        }
        let ends = starts.iter().skip(1).map(|(start, _)| *start);
        let ends = ends.chain([text.len()]);
        let sections = starts.iter().zip(ends).map(|(&(start, name), end)| {
            let text = text[start..end].trim_end();
            SectionView { name, text }
        });
        let stands = |s: &SectionView<'_>| !s.name.is_empty() || !s.text.trim().is_empty();
        let sections: Vec<_> = sections.filter(stands).collect();
        // Of two sections with one name, which the check refuses, the first one counts.
        let places = sections.iter().enumerate().rev();
        let places = places.map(|(place, s)| (s.name, place)).collect();
        Self { sections, places }
    }

    /// Returns the section with `name`.
    pub fn get(&self, name: &str) -> Option<SectionView<'a>> {
        self.places.get(name).map(|place| self.sections[*place])
    }

    /// Returns the sections in order.
    pub fn iter(&self) -> impl Iterator<Item = SectionView<'a>> {
        self.sections.iter().copied()
    }
}

fn header(line: &str) -> Option<&str> {
    let name = line.strip_prefix('[')?.strip_suffix(']')?;
    Some(name.trim())
}
