//! A kept answer.

use azureway_core::prelude::ShortAnswer;
use serde::{Deserialize, Serialize};

/// A kept answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ClaimAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: String,
    /// The body.
    pub body: String,
}

impl From<&ShortAnswer> for ClaimAnswer {
    fn from(answer: &ShortAnswer) -> Self {
        Self {
            status: answer.status,
            media: answer.media.to_string(),
            body: answer.body.to_string(),
        }
    }
}

impl From<ClaimAnswer> for ShortAnswer {
    fn from(answer: ClaimAnswer) -> Self {
        Self {
            status: answer.status,
            media: answer.media.into(),
            body: answer.body.into(),
        }
    }
}
