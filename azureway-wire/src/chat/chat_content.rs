//! The two forms of a chat message's content.

use std::borrow::Cow;

use serde::Deserialize;

use super::ChatPart;

/// The content of a chat message: one text or several parts.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum ChatContent<'a> {
    /// A single text.
    #[serde(borrow)]
    Text(Cow<'a, str>),
    /// A list of parts.
    Parts(Vec<ChatPart>),
}

impl ChatContent<'_> {
    /// Appends the text of the content to `text`.
    pub fn append_to(&self, text: &mut String) {
        match self {
            Self::Text(one) => text.push_str(one),
            Self::Parts(parts) => parts.iter().for_each(|p| text.push_str(&p.text)),
        }
    }
}
