//! A message of a chat.

use std::borrow::Cow;

use serde::Deserialize;

use super::ChatContent;

/// A message of a chat.
#[derive(Debug, Deserialize)]
pub struct ChatMessage<'a> {
    /// Who speaks.
    #[serde(borrow)]
    pub role: Cow<'a, str>,
    /// What is said.
    #[serde(borrow)]
    pub content: ChatContent<'a>,
}

impl ChatMessage<'_> {
    /// Returns the message's text with its role, as a level of the nested prefix.
    pub fn level(&self) -> String {
        let mut text = format!("{}\n", self.role);
        self.content.append_to(&mut text);
        text
    }
}
