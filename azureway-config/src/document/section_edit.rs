//! Changing entries of one section in its text.

/// The text of one section while entries are set and taken out. Comments and order stay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionEdit {
    lines: Vec<String>,
}

impl SectionEdit {
    /// Creates the edit of a section's text, with its header.
    pub fn new(text: &str) -> Self {
        Self {
            lines: text.lines().map(str::to_owned).collect(),
        }
    }

    /// Creates the edit of a section that has no entries yet.
    pub fn empty(name: &str) -> Self {
        Self::new(&format!("[{name}]"))
    }

    /// Returns the value of an entry.
    pub fn get(&self, key: &str) -> Option<&str> {
        let line = self.lines.iter().find(|l| has_key(l, key))?;
        line.split_once('=').map(|(_, value)| value.trim())
    }

    /// Sets an entry, in its place if it exists and at the end otherwise.
    #[must_use]
    pub fn with_entry(mut self, key: &str, value: &str) -> Self {
        let entry = format!("{key} = {value}");
        match self.lines.iter_mut().find(|l| has_key(l, key)) {
            Some(line) => *line = entry,
            None => self.lines.push(entry),
        }
        self
    }

    /// Takes an entry out.
    #[must_use]
    pub fn without_entry(mut self, key: &str) -> Self {
        self.lines.retain(|l| !has_key(l, key));
        self
    }

    /// Returns the text.
    pub fn text(&self) -> String {
        self.lines.join("\n")
    }
}

fn has_key(line: &str, key: &str) -> bool {
    let line = line.trim_start();
    !line.starts_with([';', '#', '[']) && line.split('=').next().map(str::trim) == Some(key)
}
