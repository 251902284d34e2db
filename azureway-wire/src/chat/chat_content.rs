//! The content of a message.

use std::borrow::Cow;

use serde::Deserialize;

use super::ChatPart;

/// The content of a message: one text or several parts.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum ChatContent<'a> {
    /// One text.
    #[serde(borrow)]
    Text(Cow<'a, str>),
    /// Several parts.
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
