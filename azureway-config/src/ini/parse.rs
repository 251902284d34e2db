//! The parser of INI text, which the document and the settings share.

use ini_core::{Item, Parser};

use super::{Entry, Fault, Faults, Section};

/// Parses INI text into its sections.
///
/// # Errors
///
/// Returns a fault for each line with a malformed header, each key before the first header and
/// each key that appears again in the same section.
pub fn parse(text: &str) -> Result<Vec<Section<'_>>, Faults> {
    let mut sections: Vec<Section<'_>> = Vec::new();
    let mut faults = Faults::new();
    let mut line = 0;
    for item in Parser::new(text).auto_trim(true) {
        // Every item except the end of a section corresponds to one line of the text.
        line += u32::from(!matches!(item, Item::SectionEnd));
        match item {
            Item::Section(name) => sections.push(Section {
                line,
                name,
                entries: Vec::new(),
            }),
            Item::Property(key, value) => {
                let entry = Entry {
                    line,
                    key,
                    value: value.unwrap_or(""),
                };
                add_entry(&mut sections, entry, &mut faults);
            }
            Item::Error(text) => {
                faults.push(new_fault(line, text, None, "a header must end with `]`"))
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    faults.into_result(sections)
}

fn add_entry<'a>(sections: &mut [Section<'a>], entry: Entry<'a>, faults: &mut Faults) {
    let Some(section) = sections.last_mut() else {
        faults.push(new_fault(
            entry.line,
            "",
            Some(entry.key),
            "entry before the first section header",
        ));
        return;
    };
    if section.get(entry.key).is_some() {
        faults.push(new_fault(
            entry.line,
            section.name,
            Some(entry.key),
            "duplicate key in the section",
        ));
        return;
    }
    section.entries.push(entry);
}

fn new_fault(line: u32, section: &str, key: Option<&str>, detail: &str) -> Fault {
    Fault {
        line,
        section: section.into(),
        key: key.map(Into::into),
        detail: detail.into(),
    }
}
