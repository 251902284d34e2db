//! Non-streamed answers, assembled from the streams that model engines send.

use azureway_wire::chat::UsageFrame;
use serde_json::{Value, json};

/// Assembles the events of a stream into one chat completion, for callers that did not ask for a
/// stream.
#[derive(Debug, Default)]
pub struct CompletionBuilder {
    first: Option<Value>,
    text: String,
    finish_reason: Option<Value>,
    usage: Option<Value>,
}

impl CompletionBuilder {
    /// Creates an empty completion.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the data of an event. Data that is not JSON is ignored.
    pub fn push(&mut self, data: &str) {
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return;
        };
        let choice = &event["choices"][0];
        self.text
            .push_str(choice["delta"]["content"].as_str().unwrap_or(""));
        if !choice["finish_reason"].is_null() {
            self.finish_reason = Some(choice["finish_reason"].clone());
        }
        if serde_json::from_str::<UsageFrame>(data).is_ok_and(|f| f.usage.is_some()) {
            self.usage = Some(event["usage"].clone());
        }
        self.first.get_or_insert(event);
    }

    /// Returns the chat completion as JSON.
    pub fn into_body(self) -> Vec<u8> {
        let first = self.first.unwrap_or(Value::Null);
        let completion = json!({
            "id": first["id"],
            "object": "chat.completion",
            "created": first["created"],
            "model": first["model"],
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason,
            }],
            "usage": self.usage,
        });
        completion.to_string().into_bytes()
    }
}
