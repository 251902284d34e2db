//! Formats the events of a streamed answer as JSON.

use azureway_wire::chat::Usage;
use serde_json::json;

/// The fields that all events of a streamed answer share.
#[derive(Clone, Copy, Debug)]
pub struct ChatEvent<'a> {
    /// The ID of the answer.
    pub id: &'a str,
    /// The name of the model service.
    pub model: &'a str,
}

impl ChatEvent<'_> {
    /// Returns the data of an event that carries a token.
    pub fn token(&self, text: &str) -> String {
        self.chunk(&json!({ "content": text }), &json!(null), None)
    }

    /// Returns the data of the event that follows the last token, with the token usage.
    pub fn finish(&self, usage: Usage) -> String {
        self.chunk(&json!({}), &json!("stop"), Some(usage))
    }

    fn chunk(
        &self,
        delta: &serde_json::Value,
        finish: &serde_json::Value,
        usage: Option<Usage>,
    ) -> String {
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        if let Some(usage) = usage {
            chunk["usage"] = json!(usage);
        }
        chunk.to_string()
    }
}
