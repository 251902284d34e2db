//! A part of a message's content.

use serde::Deserialize;

/// A part of a message's content. Parts that are no text count as empty.
#[derive(Debug, Deserialize)]
pub struct ChatPart {
    /// The text.
    #[serde(default)]
    pub text: String,
}
