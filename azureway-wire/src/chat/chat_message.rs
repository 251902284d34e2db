//! One message of a request, which forms one level of the nested prefix.

use std::borrow::Cow;

use serde::Deserialize;

use super::ChatContent;

/// A message of a chat-completions request.
#[derive(Debug, Deserialize)]
pub struct ChatMessage<'a> {
    /// The role of the message's author.
    #[serde(borrow)]
    pub role: Cow<'a, str>,
    /// The content of the message.
    #[serde(borrow)]
    pub content: ChatContent<'a>,
}

impl ChatMessage<'_> {
    /// Returns the role and the text of the message, which form one level of the nested prefix.
    pub fn level(&self) -> String {
        let mut text = format!("{}\n", self.role);
        self.content.append_to(&mut text);
        text
    }
}
