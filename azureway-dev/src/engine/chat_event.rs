//! The data of a stream's event.

use azureway_wire::chat::Usage;
use serde_json::json;

/// The data of a stream's event.
#[derive(Clone, Copy, Debug)]
pub struct ChatEvent<'a> {
    /// The identity of the answer.
    pub id: &'a str,
    /// The service.
    pub model: &'a str,
}

impl ChatEvent<'_> {
    /// Returns the data of an event with a token.
    pub fn token(&self, text: &str) -> String {
        self.chunk(&json!({ "content": text }), &json!(null), None)
    }

    /// Returns the data of the event that ends the answer.
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
