//! The fields of a chat-completions request that the entry daemon needs.

use std::borrow::Cow;

use azureway_core::prelude::{PromptBlocks, Salt};
use serde::Deserialize;

use super::ChatMessage;

/// A chat-completions request, borrowed from its body. The body is forwarded unchanged, so fields
/// that are not listed here reach the backend server as well.
#[derive(Debug, Deserialize)]
pub struct ChatRequest<'a> {
    /// The name of the requested service.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// The messages, each of which forms one level of the nested prefix.
    #[serde(borrow)]
    pub messages: Vec<ChatMessage<'a>>,
    /// Whether the caller requests a streamed answer.
    #[serde(default)]
    pub stream: bool,
    /// The maximum length of the answer, in tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
}

impl ChatRequest<'_> {
    /// Returns the cache blocks of the prompt under `salt`.
    pub fn prompt_blocks(&self, salt: Salt) -> PromptBlocks {
        let levels: Vec<_> = self.messages.iter().map(ChatMessage::level).collect();
        PromptBlocks::new(salt, levels.iter().map(|l| l.as_bytes()))
    }
}
