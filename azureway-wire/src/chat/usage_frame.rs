//! Finds the token usage in an answer or in an event of a stream, ignoring other fields.

use serde::Deserialize;

use super::Usage;

/// The part of a complete answer, or of the last event of a stream, that states the token usage.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct UsageFrame {
    /// The token usage, if the answer or event states it.
    #[serde(default)]
    pub usage: Option<Usage>,
}
