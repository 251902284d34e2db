//! From text to sections.

use ini_core::{Item, Parser};

use super::{Entry, Fault, Faults, Section};

/// Parses INI text.
///
/// # Errors
///
/// Returns the lines that are no header, entry, comment or blank, the entries before the
/// first header and the entries that stand twice in a section.
pub fn parse(text: &str) -> Result<Vec<Section<'_>>, Faults> {
    let mut sections: Vec<Section<'_>> = Vec::new();
    let mut faults = Faults::new();
    let mut line = 0;
    for item in Parser::new(text).auto_trim(true) {
        // Every item but the end of a section stands for one line of the text.
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
                add(&mut sections, entry, &mut faults);
            }
            Item::Error(text) => faults.push(fault(line, text, None, "a header must end with `]`")),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    faults.into_result(sections)
}

fn add<'a>(sections: &mut [Section<'a>], entry: Entry<'a>, faults: &mut Faults) {
    let Some(section) = sections.last_mut() else {
        faults.push(fault(
            entry.line,
            "",
            Some(entry.key),
            "stands before the first section",
        ));
        return;
    };
    if section.get(entry.key).is_some() {
        faults.push(fault(
            entry.line,
            section.name,
            Some(entry.key),
            "stands twice in its section",
        ));
        return;
    }
    section.entries.push(entry);
}

fn fault(line: u32, section: &str, key: Option<&str>, detail: &str) -> Fault {
    Fault {
        line,
        section: section.into(),
        key: key.map(Into::into),
        detail: detail.into(),
    }
}
