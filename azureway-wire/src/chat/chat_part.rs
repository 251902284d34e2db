//! One part of a message with several parts, such as text and images.

use serde::Deserialize;

/// A part of a chat message's content. A part other than text counts as an empty text.
#[derive(Debug, Deserialize)]
pub struct ChatPart {
    /// The text of the part.
    #[serde(default)]
    pub text: String,
}
