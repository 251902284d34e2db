//! A chat-completions request.

use std::borrow::Cow;

use azureway_core::prelude::{BlockChain, Salt};
use serde::Deserialize;

use super::ChatMessage;

/// A chat-completions request, borrowed from its body. Fields that azureway does not look
/// at are passed on as they are, since the body itself is.
#[derive(Debug, Deserialize)]
pub struct ChatRequest<'a> {
    /// The service that is asked for.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// The messages; each is a level of the nested prefix.
    #[serde(borrow)]
    pub messages: Vec<ChatMessage<'a>>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens of the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
}

impl ChatRequest<'_> {
    /// Derives the blocks of the prompt.
    pub fn chain(&self, salt: Salt) -> BlockChain {
        let levels: Vec<_> = self.messages.iter().map(ChatMessage::level).collect();
        BlockChain::new(salt, levels.iter().map(|l| l.as_bytes()))
    }
}
