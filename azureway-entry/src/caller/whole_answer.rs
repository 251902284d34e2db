//! A stream put together into one answer.

use azureway_wire::chat::UsageFrame;
use serde_json::{Value, json};

/// A stream put together into one chat completion, for callers that ask for no stream.
#[derive(Debug, Default)]
pub struct WholeAnswer {
    first: Option<Value>,
    text: String,
    finish: Option<Value>,
    usage: Option<Value>,
}

impl WholeAnswer {
    /// Creates an empty answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the data of an event. Data that is no JSON is left out.
    pub fn push(&mut self, data: &str) {
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return;
        };
        let choice = &event["choices"][0];
        self.text
            .push_str(choice["delta"]["content"].as_str().unwrap_or(""));
        if !choice["finish_reason"].is_null() {
            self.finish = Some(choice["finish_reason"].clone());
        }
        if serde_json::from_str::<UsageFrame>(data).is_ok_and(|f| f.usage.is_some()) {
            self.usage = Some(event["usage"].clone());
        }
        self.first.get_or_insert(event);
    }

    /// Returns the chat completion as JSON.
    pub fn into_body(self) -> Vec<u8> {
        let first = self.first.unwrap_or(Value::Null);
        let answer = json!({
            "id": first["id"],
            "object": "chat.completion",
            "created": first["created"],
            "model": first["model"],
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish,
            }],
            "usage": self.usage,
        });
        answer.to_string().into_bytes()
    }
}
