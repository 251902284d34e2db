//! Editing of one section's text that preserves comments and the order of lines.

/// The text of one section, whose keys can be set and removed. Comments and the order of lines
/// are preserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionEdit {
    lines: Vec<String>,
}

impl SectionEdit {
    /// Creates an edit of the text of a section, including its header.
    pub fn new(text: &str) -> Self {
        Self {
            lines: text.lines().map(str::to_owned).collect(),
        }
    }

    /// Creates an edit of a new section without keys.
    pub fn empty(name: &str) -> Self {
        Self::new(&format!("[{name}]"))
    }

    /// Returns the value on the first line with `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        let line = self.lines.iter().find(|l| has_key(l, key))?;
        line.split_once('=').map(|(_, value)| value.trim())
    }

    /// Sets the value of `key`: replaces its line if there is one, and appends a line to the
    /// section otherwise.
    #[must_use]
    pub fn with_entry(mut self, key: &str, value: &str) -> Self {
        let entry = format!("{key} = {value}");
        match self.lines.iter_mut().find(|l| has_key(l, key)) {
            Some(line) => *line = entry,
            None => self.lines.push(entry),
        }
        self
    }

    /// Removes a key with its value.
    #[must_use]
    pub fn without_entry(mut self, key: &str) -> Self {
        self.lines.retain(|l| !has_key(l, key));
        self
    }

    /// Returns the edited text of the section.
    pub fn text(&self) -> String {
        self.lines.join("\n")
    }
}

fn has_key(line: &str, key: &str) -> bool {
    let line = line.trim_start();
    !line.starts_with([';', '#', '[']) && line.split('=').next().map(str::trim) == Some(key)
}
