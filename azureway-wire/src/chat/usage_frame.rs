//! The part of an event that tells the tokens.

use serde::Deserialize;

use super::Usage;

/// The part of a stream's last event, or of a whole answer, that tells the tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct UsageFrame {
    /// The tokens, where the event tells them.
    #[serde(default)]
    pub usage: Option<Usage>,
}
