//! The stored answer of a request that has run, which repeated requests get.

use azureway_core::prelude::ShortAnswer;
use serde::{Deserialize, Serialize};

/// The answer that is stored with a claim, to be returned to repeated requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ClaimAnswer {
    /// The response status.
    pub status: u16,
    /// The media type of the body.
    pub media: String,
    /// The body of the answer.
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
