//! The parser that splits a document into its sections without validating them.

use std::collections::HashMap;

use super::SectionView;

/// The document split into its sections, in order. The text is not validated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections<'a> {
    sections: Vec<SectionView<'a>>,
    indices: HashMap<&'a str, usize>,
}

impl<'a> Sections<'a> {
    /// Splits a document. Comments directly above a header belong to its section.
    pub fn parse(text: &'a str) -> Self {
        let mut starts = vec![(0, "")];
        let (mut offset, mut comment) = (0, None);
        for line in text.split_inclusive('\n') {
            let trimmed = line.trim();
            if let Some(name) = parse_header(trimmed) {
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
        let has_content = |s: &SectionView<'_>| !s.name.is_empty() || !s.text.trim().is_empty();
        let sections: Vec<_> = sections.filter(has_content).collect();
        // Of several sections with the same name, the first one is used. The document check rejects
        // such a document.
        let indices = sections.iter().enumerate().rev();
        let indices = indices.map(|(index, s)| (s.name, index)).collect();
        Self { sections, indices }
    }

    /// Returns the section with the name `name`.
    pub fn get(&self, name: &str) -> Option<SectionView<'a>> {
        self.indices.get(name).map(|index| self.sections[*index])
    }

    /// Returns the sections in order.
    pub fn iter(&self) -> impl Iterator<Item = SectionView<'a>> {
        self.sections.iter().copied()
    }
}

fn parse_header(line: &str) -> Option<&str> {
    let name = line.strip_prefix('[')?.strip_suffix(']')?;
    Some(name.trim())
}
